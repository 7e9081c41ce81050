package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/topology"
	"knapweedstall/io/body"
	"knapweedstall/platform"
)

// Limits of requests and answers.
const (
	maxSkippedAnswers = 2     // answers to earlier requests that are skipped
	largeRequestBytes = 16384 // a larger request is written while the answer is read
)

// Request holds the data that all sends of one request share.
type Request struct {
	ID     string
	Method string
	Head   []byte // request line and common headers
	Body   []byte
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Digest string
	Target topology.TargetID
}

// Result is the result of a send. Answer is set when Outcome is replica.Answered,
// replica.Failed, replica.Shed or replica.Replaced.
type Result struct {
	Outcome          replica.Outcome
	Answer           Answer
	Stated           replica.Statement // what the answer says about the target
	Err              error             // why there is no answer
	ConnectionBroken bool              // the target may have crashed
	MayRun           bool              // canceled after the target had got bytes of the request
}

// Send sends r to a target and waits for its answer until ctx is done. remaining is
// the time that the target has for its answer. A request is sent again on another
// connection if the idle connection that was used has accepted none of its bytes.
func (p *Pool) Send(ctx context.Context, r *Request, id topology.TargetID, address string, remaining clock.Duration) Result {
	sent := p.clock.Now()
	c := p.takeIdle(id, r)
	for {
		fresh := c == nil
		if fresh {
			var err error
			if c, err = p.dial(ctx, id, address); err != nil {
				if ctx.Err() != nil {
					return Result{Outcome: replica.Canceled, Err: err}
				}
				return Result{Outcome: replica.Unsent, Err: err}
			}
		}
		left := remaining - p.clock.Now().Sub(sent)
		if left <= 0 || ctx.Err() != nil {
			p.putIdle(c)
			return Result{Outcome: replica.Canceled, Err: ctx.Err()}
		}
		res, retry := p.exchange(ctx, c, r, left)
		if retry && !fresh {
			c = nil // the idle connection was closed before it accepted any byte
			continue
		}
		return res
	}
}

// exchange writes the request and reads the answer. retry reports that the connection
// accepted no byte of the request.
func (p *Pool) exchange(ctx context.Context, c *conn, r *Request, left clock.Duration) (res Result, retry bool) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // on a closed connection, reads and writes fail anyway
	message := make([]byte, 0, len(r.Head)+len(r.Body)+128)
	message = append(platform.AppendSendHeaders(append(message, r.Head...), c.target, left), r.Body...)
	w := startWrite(c, message)
	if w.notSent() {
		stop()
		c.close()
		if ctx.Err() != nil {
			return Result{Outcome: replica.Canceled, Err: w.err}, false
		}
		return Result{Outcome: replica.Unsent, Err: w.err}, true
	}
	res, reusable := p.read(c, r, w)
	if !stop() && res.Outcome == replica.Lost {
		res.Outcome, res.MayRun = replica.Canceled, true
	}
	if !reusable || !w.complete() || ctx.Err() != nil {
		c.close()
		return res, false
	}
	if res.Outcome != replica.Answered {
		c.carry(r, p.clock.Now(), left)
	}
	p.putIdle(c)
	return res, false
}

// read reads the answer to r, which w writes, from c. reusable reports whether c may carry
// another request.
//
// An answer with another request id belongs to an earlier request and is skipped.
func (p *Pool) read(c *conn, r *Request, w *requestWrite) (res Result, reusable bool) {
	request := &http.Request{Method: r.Method}
	for skipped, interim := 0, 0; ; skipped++ {
		c.limit.left = maxHeadBytes
		resp, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // it holds nothing but the connection
		if err != nil {
			return lostAnswer(err), false
		}
		if isInterim(resp) {
			if interim++; interim > maxInterim {
				return Result{Outcome: replica.Lost, Err: &InterimAnswersError{Limit: maxInterim}}, false
			}
			skipped-- // an interim answer does not count
			continue
		}
		if err := platform.CheckStatus(resp); err != nil {
			return Result{Outcome: replica.Lost, Err: err}, false
		}
		reply := platform.ParseReply(resp.StatusCode, resp.Header)
		c.limit.left = maxAnswerBytes + maxHeadBytes
		data, err := p.bodies.ReadAll(resp.Body, resp.ContentLength) // not closed: that would read on to the end of one that was given up
		if err != nil {
			return lostAnswer(err), false
		}
		if endsWithConnection(resp) {
			state, err := w.end()
			p.countUnframed(state)
			if err != nil {
				return lostAnswer(&BrokenOffError{Cause: err}), false
			}
		}
		if reply.RequestID != "" && reply.RequestID != r.ID {
			if skipped == maxSkippedAnswers {
				return Result{Outcome: replica.Lost, Err: &MismatchedAnswerError{ID: reply.RequestID}}, false
			}
			p.countSkipped()
			continue
		}
		if d, ok := parseKeepAlive(resp.Header); ok {
			c.idleTimeout = d
		}
		// A late copy of an answer without an id would be taken for the next answer.
		reusable = skipped == 0 && reply.RequestID != "" && !resp.Close && c.reader.Buffered() == 0
		res = classify(resp, reply, data)
		res.Answer.Target = c.target
		if !reply.Replaced { // else another target has answered
			res.Stated = statement(resp)
		}
		return res, reusable
	}
}

// endsWithConnection reports whether only the end of the connection ends an answer's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// isInterim reports whether an answer is interim, that is, the final one follows. One that
// states a body is not: where the next answer begins is not known.
func isInterim(resp *http.Response) bool {
	switch {
	case resp.StatusCode < http.StatusContinue || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols:
		return false
	case resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0:
		return false
	}
	return resp.ProtoMajor == 1
}

// statement returns what an answer says about its target.
func statement(resp *http.Response) replica.Statement {
	seconds, stated := platform.RetryAfter(resp.StatusCode, resp.Header)
	return replica.Statement{
		Limit:   platform.Limit(resp.Header),
		Leaving: platform.Leaving(resp.Header),
		Pause:   replica.NewStatedPause(seconds, stated),
	}
}

// lostAnswer returns the result of a send whose answer could not be read. The target may
// have crashed, unless it has sent too much.
func lostAnswer(err error) Result {
	var tooLarge *body.TooLargeError
	return Result{Outcome: replica.Lost, Err: err, ConnectionBroken: !errors.As(err, &tooLarge)}
}

func classify(resp *http.Response, reply platform.Reply, data []byte) Result {
	answer := Answer{Status: resp.StatusCode, Header: resp.Header, Body: data, Digest: reply.Digest}
	success := resp.StatusCode < http.StatusMultipleChoices
	switch {
	case reply.Replaced:
		return Result{Outcome: replica.Replaced, Answer: answer}
	case reply.NotRun:
		return Result{Outcome: replica.Shed, Answer: answer}
	case reply.Encoded:
		return Result{Outcome: replica.Lost, Err: &InvalidAnswerError{Detail: "the body has a content encoding"}}
	case success && reply.Digest == "":
		return Result{Outcome: replica.Lost, Err: &InvalidAnswerError{Detail: "a success status without a digest"}}
	case success:
		return Result{Outcome: replica.Answered, Answer: answer}
	default:
		return Result{Outcome: replica.Failed, Answer: answer}
	}
}

// parseKeepAlive returns how long a connection may be reused according to the idle
// timeout that the target states.
func parseKeepAlive(h http.Header) (clock.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		return clock.Duration(idleTimeoutShare * float64(s) * float64(clock.Second)), true
	}
	return 0, false
}
