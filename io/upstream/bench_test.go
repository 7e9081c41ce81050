package upstream_test

import (
	"bytes"
	"context"
	"net"
	"testing"

	"knapweedstall/core/replica"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
)

// BenchmarkSend measures one send on a reused connection, with an answer as large as
// that of one shard. The time includes the target's read and write, which are two of
// the four system calls.
func BenchmarkSend(b *testing.B) {
	for name, size := range map[string]int{"part of 100 B": 100, "part of 1,000 B": 1000} {
		b.Run(name, func(b *testing.B) {
			address := serveFixedAnswer(b, answer("r1", string(bytes.Repeat([]byte("x"), size)), "X-Server-Stamp: d"))
			p, r := upstream.NewPool(osclock.New()), request("r1")
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				if res := p.Send(ctx, r, "t1", address, 1000); res.Outcome != replica.Answered {
					b.Fatal(res.Outcome, res.Err)
				}
			}
		})
	}
}

// serveFixedAnswer starts a server that answers each request with the same text and
// returns its address. Requests have no body.
func serveFixedAnswer(b *testing.B, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go writeFixedAnswer(c, text)
		}
	}()
	return l.Addr().String()
}

func writeFixedAnswer(c net.Conn, text string) {
	defer c.Close()
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		if !bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
			continue
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}
