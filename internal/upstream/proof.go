package upstream

// Proof is what an exchange that failed proves about whether its request ran. The zero value proves nothing: whoever has no proof
// has to assume that the request ran.
type Proof uint8

// The proofs.
const (
	MayHaveRun Proof = iota // a part of the request was sent, and a host may work on it, and respond, before it has read the rest (RFC 9112, section 9.5)
	NeverSent               // no byte of the request was handed to a connection: it has not run and will not
)

// Write writes a part of the present request and counts its bytes. All requests are written by it, so that proof holds.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// proof returns what is known of the present request if it gets no response. No Write may be under way.
func (c *conn) proof() Proof {
	if c.written == 0 {
		return NeverSent
	}
	return MayHaveRun
}
