package delegate

import "testing"

// FuzzDecode guards against a message of another instance that ends the process.
func FuzzDecode(f *testing.F) {
	for _, m := range []message{{Number: 1, Request: &Request{Route: "r", Head: []byte("GET")}}, {Number: 2, Answer: &Answer{Digests: []string{"d"}}}, {Drain: true}} {
		data, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		l := &link{waiting: map[uint64]chan Answer{m.Number: make(chan Answer, 1)}}
		l.handle(m)
		l.handle(m)
	})
}
