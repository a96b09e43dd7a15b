package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

// The IDL that these tests speak, by hand:
//
//	exception Closed { 1: string why }
//	struct Order { 1: i64 id, 2: string key, 3: binary lens }
//	service Orders {
//	  string status(1: Order order) throws (1: Closed closed)   // class order-status
//	  string place(1: Order order)                              // class place-order, keyed
//	  string charge(1: Order order)                             // class remake-charge, unsafe
//	  oneway void note(1: Order order)                          // class remake-charge
//	}
const thriftSection = `
[thrift]
listen = "127.0.0.1:0"
form = %q
turned_away = 77
[[thrift.method]]
name = "status"
class = "order-status"
id = [1, 1]
[[thrift.method]]
name = "Orders:place"
class = "place-order"
id = [1, 1]
key = [1, 2]
[[thrift.method]]
name = "place"
class = "place-order"
key = [1, 2]
[[thrift.method]]
name = "charge"
class = "remake-charge"
[[thrift.method]]
name = "unheard" # by the hosts, too
class = "order-status"
[[thrift.method]]
name = "note"
class = "remake-charge"
oneway = true
`

// order is the arguments of every method.
type order struct {
	id   int64
	key  string
	lens []byte
}

func (o *order) Write(ctx context.Context, p thrift.TProtocol) error {
	return errors.Join(p.WriteStructBegin(ctx, "args"), p.WriteFieldBegin(ctx, "order", thrift.STRUCT, 1),
		p.WriteStructBegin(ctx, "Order"),
		p.WriteFieldBegin(ctx, "id", thrift.I64, 1), p.WriteI64(ctx, o.id), p.WriteFieldEnd(ctx),
		p.WriteFieldBegin(ctx, "key", thrift.STRING, 2), p.WriteString(ctx, o.key), p.WriteFieldEnd(ctx),
		p.WriteFieldBegin(ctx, "lens", thrift.STRING, 3), p.WriteBinary(ctx, o.lens), p.WriteFieldEnd(ctx),
		p.WriteFieldStop(ctx), p.WriteStructEnd(ctx), p.WriteFieldEnd(ctx), p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
}

func (o *order) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(int16) error {
		return fields(ctx, p, func(id int16) (err error) {
			switch id {
			case 1:
				o.id, err = p.ReadI64(ctx)
			case 2:
				o.key, err = p.ReadString(ctx)
			case 3:
				o.lens, err = p.ReadBinary(ctx)
			}
			return err
		})
	})
}

// fields reads a struct, each of whose fields read takes.
func fields(ctx context.Context, p thrift.TProtocol, read func(id int16) error) error {
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, t, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return err
		}
		if t == thrift.STOP {
			return p.ReadStructEnd(ctx)
		}
		if err := errors.Join(read(id), p.ReadFieldEnd(ctx)); err != nil {
			return err
		}
	}
}

// result is what every method returns: a text, or that it is closed.
type result struct{ text, closed string }

func (r *result) Write(ctx context.Context, p thrift.TProtocol) error {
	if r.closed != "" {
		return errors.Join(p.WriteStructBegin(ctx, "result"), p.WriteFieldBegin(ctx, "closed", thrift.STRUCT, 1),
			p.WriteStructBegin(ctx, "Closed"), p.WriteFieldBegin(ctx, "why", thrift.STRING, 1), p.WriteString(ctx, r.closed),
			p.WriteFieldEnd(ctx), p.WriteFieldStop(ctx), p.WriteStructEnd(ctx), p.WriteFieldEnd(ctx), p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
	}
	return errors.Join(p.WriteStructBegin(ctx, "result"), p.WriteFieldBegin(ctx, "success", thrift.STRING, 0), p.WriteString(ctx, r.text),
		p.WriteFieldEnd(ctx), p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
}

func (r *result) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(id int16) (err error) {
		if id == 0 {
			r.text, err = p.ReadString(ctx)
			return err
		}
		return fields(ctx, p, func(int16) (err error) {
			r.closed, err = p.ReadString(ctx)
			return err
		})
	})
}

// orders serves the IDL as generated code does.
type orders struct{ notes chan string }

func (s *orders) ProcessorMap() map[string]thrift.TProcessorFunction { return nil }

func (s *orders) AddToProcessorMap(string, thrift.TProcessorFunction) {}

func (s *orders) Process(ctx context.Context, in, out thrift.TProtocol) (bool, thrift.TException) {
	name, _, seq, err := in.ReadMessageBegin(ctx)
	if err != nil {
		return false, thrift.WrapTException(err)
	}
	answer := func(kind thrift.TMessageType, body thrift.TStruct) {
		_ = errors.Join(out.WriteMessageBegin(ctx, name, kind, seq), body.Write(ctx, out), out.WriteMessageEnd(ctx), out.Flush(ctx))
	}
	if name == "unheard" {
		_ = errors.Join(in.Skip(ctx, thrift.STRUCT), in.ReadMessageEnd(ctx))
		answer(thrift.EXCEPTION, thrift.NewTApplicationException(thrift.UNKNOWN_METHOD, "unknown here: "+name).(thrift.TStruct))
		return true, nil
	}
	var args order
	if err := errors.Join(args.Read(ctx, in), in.ReadMessageEnd(ctx)); err != nil {
		return false, thrift.WrapTException(err)
	}
	text := fmt.Sprintf("%s %d %s %x", name, args.id, args.key, args.lens)
	switch {
	case name == "note":
		s.notes <- text
	case args.key == "closed":
		answer(thrift.REPLY, &result{closed: "for today"})
	case args.key == "fails":
		s.notes <- text
		answer(thrift.EXCEPTION, thrift.NewTApplicationException(thrift.INTERNAL_ERROR, "oops").(thrift.TStruct))
	default:
		answer(thrift.REPLY, &result{text: text})
	}
	return true, nil
}

// thriftForms are the forms, by the names that the operator's file has for them.
var thriftForms = map[string]struct {
	transport thrift.TTransportFactory
	protocol  thrift.TProtocolFactory
}{
	"framed-binary":     {framed(), thrift.NewTBinaryProtocolFactoryConf(strict(true))},
	"binary":            {thrift.NewTBufferedTransportFactory(4096), thrift.NewTBinaryProtocolFactoryConf(strict(true))},
	"framed-compact":    {framed(), thrift.NewTCompactProtocolFactoryConf(nil)},
	"compact":           {thrift.NewTBufferedTransportFactory(4096), thrift.NewTCompactProtocolFactoryConf(nil)},
	"framed-old-binary": {framed(), thrift.NewTBinaryProtocolFactoryConf(strict(false))},
	"old-binary":        {thrift.NewTBufferedTransportFactory(4096), thrift.NewTBinaryProtocolFactoryConf(strict(false))},
}

func framed() thrift.TTransportFactory {
	return thrift.NewTFramedTransportFactoryConf(thrift.NewTTransportFactory(), nil)
}

func strict(write bool) *thrift.TConfiguration {
	no := false
	return &thrift.TConfiguration{TBinaryStrictRead: &no, TBinaryStrictWrite: &write}
}

// listener is a listener as the library's servers take one: theirs does not tell which port it got.
type listener struct{ net.Listener }

func (l listener) Listen() error { return nil }

func (l listener) Accept() (thrift.TTransport, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return thrift.NewTSocketFromConnConf(c, nil), nil
}

func (l listener) Interrupt() error { return l.Close() }

// thriftHost starts a server of the library and returns its address.
func thriftHost(t testing.TB, form string, processor thrift.TProcessor) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := thriftForms[form]
	server := thrift.NewTSimpleServer4(processor, listener{l}, f.transport, f.protocol)
	go func() { _ = server.AcceptLoop() }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// thriftClient connects a client of the library.
func thriftClient(t testing.TB, form, addr string) (thrift.TProtocol, thrift.TTransport) {
	t.Helper()
	f := thriftForms[form]
	transport, err := f.transport.GetTransport(thrift.NewTSocketConf(addr, nil))
	if err == nil {
		err = transport.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close() })
	return f.protocol.GetProtocol(transport), transport
}

// startThrift starts a sidecar with that operator's file, before upstream hosts at those addresses, and returns
// where it takes Thrift.
func startThrift(t testing.TB, operator string, hosts ...string) (p *program, addr string) {
	t.Helper()
	var members []string
	for i, addr := range hosts {
		members = append(members, host(fmt.Sprint("s-", i), addr, "Ready"))
	}
	p = launch(t, exec.Command(os.Args[0], "--config", operatorFile(t, operator)), newTestSite(t, members...).addr)
	addr = p.await(t, "listening for Thrift").Get("addr").Str
	p.addr = p.await(t, "listening").Get("addr").Str
	p.await(t, "cluster changed")
	return p, addr
}

// Guards against clients and servers that nobody here wrote not understanding what the sidecar says, in any form:
// plain and multiplexed names, declared exceptions, unknown methods, oneways that are sent as such and as calls,
// and answers to one client that another's call had.
func TestThriftLibrary(t *testing.T) {
	for form := range thriftForms {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			s := &orders{notes: make(chan string, 10)}
			processor := thrift.NewTMultiplexedProcessor()
			processor.RegisterDefault(s)
			processor.RegisterProcessor("Orders", s)
			read := "any"
			if strings.Contains(form, "old") { // nothing tells it from others
				read = form
			}
			_, addr := startThrift(t, fmt.Sprintf(thriftSection, read), thriftHost(t, form, processor), thriftHost(t, form, processor))
			protocol, transport := thriftClient(t, form, addr)
			plain := thrift.NewTStandardClient(protocol, protocol)
			named := thrift.NewTMultiplexedProtocol(protocol, "Orders")
			multiplexed := thrift.NewTStandardClient(protocol, named)
			ctx := context.Background()
			lens := strings.Repeat("\x00lens\xff", 2000)
			for i, c := range []struct {
				client *thrift.TStandardClient
				method string
				args   order
				want   result
				fault  int32
			}{
				{plain, "status", order{1, "", nil}, result{text: "status 1  "}, 0},
				{plain, "status", order{-5, "a", []byte(lens)}, result{text: fmt.Sprintf("status -5 a %x", lens)}, 0},
				{plain, "status", order{2, "closed", nil}, result{closed: "for today"}, 0},
				{multiplexed, "status", order{3, "m", nil}, result{text: "status 3 m "}, 0},
				{multiplexed, "place", order{4, "k4", nil}, result{text: "place 4 k4 "}, 0},
				{plain, "place", order{4, "k4", nil}, result{text: "place 4 k4 "}, 0},
				{multiplexed, "place", order{4, "", nil}, result{}, 104},
				{plain, "charge", order{5, "", nil}, result{text: "charge 5  "}, 0},
				{plain, "charge", order{6, "fails", nil}, result{}, 101},
				{plain, "unheard-of", order{}, result{}, 1},
				{multiplexed, "unheard", order{}, result{}, 1},
				{plain, "status", order{7, "", nil}, result{text: "status 7  "}, 0},
			} {
				var got result
				_, err := c.client.Call(ctx, c.method, &c.args, &got)
				var fault thrift.TApplicationException
				if errors.As(err, &fault) && fault.TypeId() != c.fault || err != nil && c.fault == 0 || got != c.want {
					t.Errorf("call %d of %s: %+v, %v", i, c.method, got, err)
				}
				if c.method == "unheard" && (err == nil || err.Error() != "unknown here: unheard") {
					t.Errorf("a host's own words became %v", err)
				}
			}
			if got := <-s.notes; len(s.notes) > 0 || got != "charge 6 fails " {
				t.Errorf("what must not run twice was seen as %q, and %d more", got, len(s.notes))
			}
			note := func(client thrift.TProtocol, kind thrift.TMessageType, id int64) {
				args := order{id: id}
				if err := errors.Join(client.WriteMessageBegin(ctx, "note", kind, int32(id)), args.Write(ctx, client),
					client.WriteMessageEnd(ctx), transport.Flush(ctx)); err != nil {
					t.Error(err)
				}
			}
			note(named, thrift.ONEWAY, 1)
			note(protocol, thrift.CALL, 2) // as the library itself sends oneways
			var got result
			if _, err := plain.Call(ctx, "status", &order{id: 9}, &got); err != nil || got.text != "status 9  " {
				t.Errorf("after oneways: %+v, %v", got, err)
			}
			_ = transport.Close() // a oneway's client need not stay
			for _, want := range []string{"note 1  ", "note 2  "} {
				if got := <-s.notes; got != want && got != "note 1  " && got != "note 2  " {
					t.Errorf("the host got %q", got)
				}
			}
		})
	}
}

// Guards against HTTP callers losing anything to Thrift's being on, and the other way round: bytes of the one on
// the other's port are answered with a fault, and a planned end answers what both have taken.
func TestThriftBesideHTTP(t *testing.T) {
	const form = "framed-binary"
	release, s := make(chan struct{}), &orders{notes: make(chan string, 10)}
	thriftAt := thriftHost(t, form, s)
	_, port, _ := net.SplitHostPort(thriftAt)
	b := newTestHost(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	section := strings.Replace(fmt.Sprintf(thriftSection, "any"), "turned_away", "upstream_port = "+port+"\nturned_away", 1)
	p, addr := startThrift(t, section, b.addr)
	answered := make(chan string)
	go func() {
		_, body := p.call(t, "GET", "/order-status/1", "")
		answered <- body
	}()
	<-b.visits
	protocol, _ := thriftClient(t, form, addr)
	var got result
	if _, err := thrift.NewTStandardClient(protocol, protocol).Call(context.Background(), "status", &order{id: 1}, &got); err != nil || got.text != "status 1  " {
		t.Errorf("%+v, %v", got, err)
	}
	for at, text := range map[string]string{addr: "GET / HTTP/1.1\r\nHost: x\r\n\r\n", p.addr: "\x00\x00\x00\x10\x80\x01\x00\x01\x00\x00\x00\x01a\r\n\r\n"} {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, text)
		if said, _ := io.ReadAll(c); !strings.Contains(string(said), "protocol error") && !strings.Contains(string(said), "400") {
			t.Errorf("the other protocol's bytes were answered %q", said)
		}
		_ = c.Close()
	}
	p.drain(t, release, answered)
}
