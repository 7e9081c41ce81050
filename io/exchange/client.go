package exchange

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/io/handshake"
)

// dialTimeout bounds opening a link. An instance that is up answers within a few round
// trips.
const dialTimeout = 300 * clock.Millisecond

// Client calls other instances. It keeps a link to each instance that it has called.
type Client struct {
	self topology.InstanceID

	mu    sync.Mutex
	links map[string]*link // by address
}

// NewClient returns a Client of the instance self that has no links yet.
func NewClient(self topology.InstanceID) *Client {
	return &Client{self: self, links: map[string]*link{}}
}

// link is a connection to an instance.
type link struct {
	address string
	ready   chan struct{} // closed when conn or dialErr is set
	conn    *websocket.Conn
	dialErr error // why the connection could not be opened

	mu         sync.Mutex
	lastNumber uint64
	received   uint64                  // number of messages received
	waiting    map[uint64]chan message // of the calls without an answer, by number
	closed     bool
}

// Call calls the topic of the instance at address and returns the answer's payload. It
// fails with *UnavailableError when no answer arrives until ctx is done, with
// *UnsupportedError and with *RemoteError. A link on which nothing arrives while a call
// waits is closed, since a connection may go silent without a reset.
func (c *Client) Call(ctx context.Context, address, topic string, payload []byte) ([]byte, error) {
	l := c.linkTo(address)
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, errors.WithStack(&UnavailableError{Address: address, NotSent: true, Cause: ctx.Err()})
	}
	if l.dialErr != nil {
		return nil, l.dialErr
	}
	number, answers, received := l.add()
	defer l.remove(number)
	m := message{Number: number, Topic: topic, From: c.self, Payload: payload}
	if err := send(context.WithoutCancel(ctx), l.conn, m); err != nil {
		if tooLarge := (*TooLargeError)(nil); errors.As(err, &tooLarge) {
			return nil, err
		}
		c.close(l)
		return nil, errors.WithStack(&UnavailableError{Address: address, Cause: err})
	}
	select {
	case a, ok := <-answers:
		if !ok {
			return nil, errors.WithStack(&UnavailableError{Address: address, Cause: &LinkClosedError{}})
		}
		return a.result(address, topic)
	case <-ctx.Done():
		if l.silentSince(received) {
			c.close(l)
		}
		return nil, errors.WithStack(&UnavailableError{Address: address, Cause: ctx.Err()})
	}
}

// result returns what the answer to a call says.
func (m message) result(address, topic string) ([]byte, error) {
	switch {
	case m.Unsupported:
		return nil, errors.WithStack(&UnsupportedError{Address: address, Topic: topic})
	case m.Error != "":
		return nil, errors.WithStack(&RemoteError{Address: address, Topic: topic, Detail: m.Error})
	}
	return m.Payload, nil
}

// linkTo returns the link to address, and starts opening one if there is none.
func (c *Client) linkTo(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		return l
	}
	l := &link{address: address, ready: make(chan struct{}), waiting: map[uint64]chan message{}}
	c.links[address] = l
	go c.open(l)
	return l
}

// open opens l and passes its answers on until it ends.
func (c *Client) open(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Std())
	defer cancel()
	conn, status, err := handshake.Dial(ctx, l.address, Path, maxFrameBytes)
	if err != nil {
		l.dialErr = errors.WithStack(&UnavailableError{Address: l.address, NotSent: true, Cause: err})
		if status == http.StatusNotFound {
			l.dialErr = errors.WithStack(&UnsupportedError{Address: l.address, Topic: Path})
		}
		c.remove(l)
		close(l.ready)
		return
	}
	l.conn = conn
	close(l.ready)
	defer c.close(l)
	for {
		_, data, err := conn.Read(context.Background())
		if err != nil {
			return
		}
		m, err := decode(data)
		if err != nil {
			return
		}
		l.pass(m)
	}
}

// close closes l, so that all calls on it fail and the next call opens a new link.
func (c *Client) close(l *link) {
	c.remove(l)
	_ = l.conn.CloseNow() // the calls report that the link has ended
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, answers := range l.waiting {
		close(answers)
	}
	clear(l.waiting)
}

func (c *Client) remove(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// add adds a call. It returns its number, the channel that gets the answer and is closed
// when the link ends, and the number of messages received so far.
func (l *link) add() (number uint64, answers <-chan message, received uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	waiting := make(chan message, 1)
	if l.closed {
		close(waiting)
	} else {
		l.waiting[l.lastNumber] = waiting
	}
	return l.lastNumber, waiting, l.received
}

func (l *link) remove(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// silentSince reports whether no message has arrived since received were counted.
func (l *link) silentSince(received uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received == received
}

func (l *link) pass(m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received++
	if answers := l.waiting[m.Number]; answers != nil {
		answers <- m // does not block: the channel has room for the only answer
		delete(l.waiting, m.Number)
	}
}
