package upstream

import (
	"net"

	"knapweedstall/io/body"
)

// Limits of what a target may send.
const (
	maxAnswerBytes = 8 << 20
	// maxHeadBytes bounds the status line and headers of an answer, and the framing of
	// its body.
	maxHeadBytes = 64 << 10
	maxInterim   = 8 // interim answers, with a status of 1xx, before an answer
)

// bodyLimits bound the bodies of answers.
var bodyLimits = body.Limits{Most: maxAnswerBytes, Small: 64 << 10, Total: 16 << 20}

// limitedConn is a connection from which only a limited number of bytes can be read
// until the limit is set again.
type limitedConn struct {
	net.Conn
	left int64
}

// Read implements io.Reader. It fails with *body.TooLargeError beyond the limit.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, &body.TooLargeError{Limit: maxHeadBytes}
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}
