package thriftwire

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

// benchBody is a search's reply of about size bytes: a list of structs of an i64, a string, a bool, an i32 and a
// double. (A row has 59 bytes in binary, 37 in compact.)
func benchBody(b *testing.B, e Encoding, size int) []byte {
	if e == Compact {
		return parseHex(b, fmt.Sprintf("19fc %x %d*16c69a0c2812%x11150e17000000000000000000 00",
			[]byte{byte(size/37)&0x7f | 0x80, byte(size / 37 >> 7)}, size/37, "acetylsalicylicacd"))
	}
	return parseHex(b, fmt.Sprintf("0f00010c %08x %d*0a000100000000000f42430b000200000012%x02000301080004000000070400050000000000000000"+
		"00 00", size/59, size/59, "acetylsalicylicacd"))
}

// BenchmarkReader is compared to apache/thrift's Skip on the same message, in memory and without a frame.
func BenchmarkReader(b *testing.B) {
	for _, size := range []int{300, 20_000} {
		for _, form := range []Form{{Binary, true}, {Binary, false}, {Compact, true}, {Compact, false}} {
			message := Append(nil, Head{Form: form, Kind: Reply, Name: "search"}, benchBody(b, form.Encoding, size))
			run := func(by string, one func() error) {
				b.Run(fmt.Sprintf("%d/%v/%s", size, form, by), func(b *testing.B) {
					b.SetBytes(int64(len(message)))
					b.ReportAllocs()
					for b.Loop() {
						if err := one(); err != nil {
							b.Fatal(err)
						}
					}
				})
			}
			r := NewReader(wideLimits, nil)
			run("reader", func() error {
				r.Feed(message)
				_, ok, err := r.Next()
				_, _, _ = r.Next() // which releases a large buffer
				if !ok && err == nil {
					return errNeedMore
				}
				return err
			})
			if form.Framed {
				continue
			}
			mem := thrift.NewTMemoryBuffer()
			p := apacheProtocol(form.Encoding, mem)
			run("apache", func() error {
				mem.Buffer = bytes.NewBuffer(message)
				if _, _, _, err := p.ReadMessageBegin(ctx); err != nil {
					return err
				}
				return thrift.SkipDefaultDepth(ctx, p, thrift.STRUCT)
			})
		}
	}
}
