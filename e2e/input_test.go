package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
	"knapweedstall/io/caller"
	"knapweedstall/io/operator"
	"knapweedstall/io/peer"
	"knapweedstall/io/porttest"
)

// badInput is one request and the refusal that it has to get.
type badInput struct {
	name, method, path, token, body string
	status                          int
	code                            string
	header                          []string
}

// Guards against an input that crashes an instance, is half accepted, or gets
// an error without a stable code, at the interface for callers.
func TestBadInputOfCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.setUp()
	m := c.members[0]
	query := func(name, body string, status int, code caller.Code) badInput {
		return badInput{name: name, method: http.MethodPost, path: "/v1/query", token: tokenA, body: body, status: status, code: string(code)}
	}
	run := func(name, key, body string, code caller.Code) badInput {
		return badInput{
			name: name, method: http.MethodPost, path: "/v1/run", token: tokenA, body: body,
			status: http.StatusBadRequest, code: string(code), header: []string{"Idempotency-Key", key},
		}
	}
	const good = `{"collection":"dockdesk","query":"pickup"}`
	inputs := []badInput{
		{"no token", http.MethodPost, "/v1/query", "", good, http.StatusUnauthorized, "unauthenticated", nil},
		{"wrong token", http.MethodPost, "/v1/query", "nobody", good, http.StatusUnauthorized, "unauthenticated", nil},
		{"admin token", http.MethodPost, "/v1/run", adminToken, good, http.StatusUnauthorized, "unauthenticated", nil},
		{"other route", http.MethodPost, "/v2/query", tokenA, good, http.StatusNotFound, "notFound", nil},
		{"other method", http.MethodDelete, "/v1/query", tokenA, good, http.StatusBadRequest, "badRequest", nil},
		query("empty", "", 400, caller.CodeBadRequest),
		query("null", "null", 400, caller.CodeBadRequest),
		query("not JSON", "\x00\xff{", 400, caller.CodeBadRequest),
		query("cut off", good[:20], 400, caller.CodeBadRequest),
		query("array", `[1]`, 400, caller.CodeBadRequest),
		query("two values", good+good, 400, caller.CodeBadRequest),
		query("trailing bracket", good+"]", 400, caller.CodeBadRequest),
		query("deep", strings.Repeat("[", 60000), 400, caller.CodeBadRequest),
		query("unknown field", `{"collection":"dockdesk","query":"x","tenant":"rail-desk"}`, 400, caller.CodeBadRequest),
		query("wrong type", `{"collection":7,"query":"x"}`, 400, caller.CodeBadRequest),
		query("no collection", `{"query":"x"}`, 400, caller.CodeBadRequest),
		query("unknown collection", `{"collection":"nowhere","query":"x"}`, 404, caller.CodeNotFound),
		query("negative limit", `{"collection":"dockdesk","limit":-1}`, 400, caller.CodeBadRequest),
		query("large limit", `{"collection":"dockdesk","limit":1001}`, 400, caller.CodeBadRequest),
		query("fraction", `{"collection":"dockdesk","limit":1.5}`, 400, caller.CodeBadRequest),
		query("negative deadline", `{"collection":"dockdesk","deadlineMs":-1}`, 400, caller.CodeBadRequest),
		query("long deadline", `{"collection":"dockdesk","deadlineMs":2001}`, 400, caller.CodeBadRequest),
		query("overflow", `{"collection":"dockdesk","deadlineMs":99999999999999999999}`, 400, caller.CodeBadRequest),
		query("long query", fmt.Sprintf(`{"collection":"dockdesk","query":%q}`, strings.Repeat("x", 16<<10+1)), 400, caller.CodeBadRequest),
		query("large body", fmt.Sprintf(`{"collection":"dockdesk","query":%q}`, strings.Repeat("x", 64<<10)), 413, caller.CodeTooLarge),
		run("no key", "", `{"collection":"dockdesk","payload":"x"}`, caller.CodeBadRequest),
		run("long key", strings.Repeat("k", 257), `{"collection":"dockdesk","payload":"x"}`, caller.CodeBadRequest),
		run("key in the body", "k", `{"collection":"dockdesk","payload":"x","key":"k"}`, caller.CodeBadRequest),
		run("long run deadline", "k", `{"collection":"dockdesk","payload":"x","deadlineMs":2001}`, caller.CodeBadRequest),
	}
	for _, in := range inputs {
		var e caller.Error
		c.requireRefusal(in, m.callers, &e)
		if string(e.Code) != in.code || e.Outcome != caller.OutcomeNotRun || e.Message == "" {
			t.Errorf("%s: %+v", in.name, e)
		}
	}
	c.requireServing(m)
}

// Guards against the same at the interface for operators, where an input that
// is half accepted would change the configuration.
func TestBadInputOfOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.setUp()
	m := c.members[0]
	file := func(name, body string, status int, code operator.Code) badInput {
		return badInput{name: name, method: http.MethodPost, path: "/v1/tickets", token: adminToken, body: body, status: status, code: string(code)}
	}
	change := func(name, change string) badInput {
		return file(name, `{"number":2,"filingId":"x","operator":"o","changes":[`+change+`]}`, 400, operator.CodeInvalid)
	}
	zone := func(state string) string {
		return fmt.Sprintf(`{"scope":"zone/%s","value":{"region":"ga-central","state":%q}}`, zones[0], state)
	}
	inputs := []badInput{
		{"no token", http.MethodPost, "/v1/tickets", "", "{}", http.StatusUnauthorized, "unauthenticated", nil},
		{"caller's token", http.MethodGet, "/v1/state", tokenA, "", http.StatusUnauthorized, "unauthenticated", nil},
		{"other route", http.MethodGet, "/v1/nothing", adminToken, "", http.StatusNotFound, "notFound", nil},
		{"not a number", http.MethodGet, "/v1/tickets/first", adminToken, "", http.StatusBadRequest, "invalid", nil},
		{"negative number", http.MethodGet, "/v1/tickets?from=-1", adminToken, "", http.StatusBadRequest, "invalid", nil},
		{"unknown ticket", http.MethodGet, "/v1/tickets/77", adminToken, "", http.StatusNotFound, "notFound", nil},
		file("empty", "", 400, operator.CodeInvalid),
		file("not JSON", "\x00\xff", 400, operator.CodeInvalid),
		file("two values", string(c.ticket)+"{}", 400, operator.CodeInvalid),
		file("deep", strings.Repeat("[", 100000), 400, operator.CodeInvalid),
		file("unknown field", `{"number":2,"operator":"o","urgent":true,"changes":[]}`, 400, operator.CodeInvalid),
		file("repeated field", `{"number":2,"number":3,"operator":"o","changes":[]}`, 400, operator.CodeInvalid),
		file("no change", `{"number":2,"operator":"o","changes":[]}`, 400, operator.CodeInvalid),
		file("large", `{"operator":"`+strings.Repeat("x", 1<<20)+`"}`, 413, operator.CodeTooLarge),
		file("number ahead", `{"number":9,"filingId":"x","operator":"o","changes":[`+zone("in")+`]}`, 409, operator.CodeBehind),
		file("number taken", `{"number":1,"filingId":"x","operator":"o","changes":[`+zone("in")+`]}`, 409, operator.CodeConflict),
		change("unknown scope", `{"scope":"rack/7","value":{}}`),
		change("no scope", `{"value":{}}`),
		change("no value", `{"scope":"tuning"}`),
		change("unknown state", zone("half")),
		change("scope twice", zone("in")+","+zone("in")),
		change("unknown field of a value", `{"scope":"tuning","value":{"hedging":true,"maxBatch":4,"canary":true,"x":1}}`),
		change("out of range", `{"scope":"tuning","value":{"hedging":true,"maxBatch":0,"canary":true}}`),
		change("unknown collection", `{"scope":"tenant/t","value":{"weight":1,"collections":["nowhere"]}}`),
		change("negative weight", `{"scope":"tenant/t","value":{"weight":-1,"collections":[]}}`),
	}
	for _, in := range inputs {
		var e operator.Error
		c.requireRefusal(in, m.operator, &e)
		if string(e.Code) != in.code || e.Message == "" {
			t.Errorf("%s: %+v", in.name, e)
		}
		if in.code == "invalid" && in.path == "/v1/tickets" && len(e.Faults) == 0 {
			t.Errorf("%s: no fault is named: %+v", in.name, e)
		}
	}
	if records := c.audit(m); len(records) != 0 {
		t.Errorf("accepted: %+v", records)
	}
	c.requireServing(m)
}

// requireRefusal sends in and decodes its refusal into e.
func (c *cluster) requireRefusal(in badInput, address string, e any) {
	c.t.Helper()
	status, data, err := c.call(in.method, address, in.path, in.token, []byte(in.body), in.header...)
	if err != nil || status != in.status {
		c.t.Errorf("%s: status %d, want %d, %v, %s", in.name, status, in.status, err, data)
		return
	}
	if err := json.Unmarshal(data, e); err != nil {
		c.t.Errorf("%s: %q is not an error: %v", in.name, data, err)
	}
}

func (c *cluster) requireServing(m *member) {
	c.t.Helper()
	select {
	case <-m.process.done:
		c.t.Fatalf("%s has ended", m.id)
	default:
	}
	if status, a, e := c.query(m, tokenA, "dockdesk", "pickup"); !complete(status, a) {
		c.t.Errorf("%s: status %d, %+v, %+v", m.id, status, a.Coverage, e)
	}
}

// Guards against bytes on the peer interface that crash an instance or stop it
// from serving.
func TestBadInputOfPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.setUp()
	m := c.members[0]
	for _, token := range []string{"", adminToken, tokenA} {
		status, data, err := c.call(http.MethodGet, m.peers, peer.Path, token, nil)
		var e struct{ Code string }
		if err != nil || status != http.StatusUnauthorized || json.Unmarshal(data, &e) != nil || e.Code != "unauthenticated" {
			t.Errorf("token %q: status %d, %s, %v", token, status, data, err)
		}
	}
	if status, _, err := c.call(http.MethodGet, m.peers, peer.Path, peerToken, nil); err != nil || status < 400 {
		t.Errorf("without an upgrade: status %d, %v", status, err)
	}
	hello := func(id topology.InstanceID) []byte {
		data, err := peer.Encode(peer.Frame{Bodies: []message.Body{message.Hello{Member: topology.Member{
			Ref: topology.InstanceRef{ID: id, Incarnation: 1}, Address: porttest.Address(t),
			Zone: topology.ZoneID(zones[1]), Region: "ga-central", State: topology.MemberLive,
		}}}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	garbage := []byte("\xff\x00 not a frame")
	for name, frames := range map[string][][]byte{
		"empty":            {{}},
		"garbage":          {garbage},
		"truncated":        {hello("intruder-1")[:10]},
		"no hello":         {mustEncode(t, message.CancelSub{})},
		"garbage later":    {hello("intruder-2"), garbage},
		"empty later":      {hello("intruder-3"), {}},
		"truncated later":  {hello("intruder-4"), mustEncode(t, message.Gossip{})[:3]},
		"oversized":        {hello("intruder-5"), make([]byte, 5<<20)},
		"nil bodies later": {hello("intruder-6"), mustEncode(t, message.SubRequest{}, message.SubReply{}, message.RunRequest{}, message.RunReply{}, message.LeaseRenewal{}, message.TableBuckets{}, message.Tickets{})},
	} {
		c.sendFrames(m, name, frames)
		c.requireServing(m)
	}
	eventually(t, settleLimit, "complete answers", func() bool {
		status, a, _ := c.query(m, tokenA, "dockdesk", "pickup")
		return complete(status, a)
	})
}

func mustEncode(t *testing.T, bodies ...message.Body) []byte {
	t.Helper()
	data, err := peer.Encode(peer.Frame{Bodies: bodies})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// sendFrames opens a peer connection to m, sends the frames and waits until m
// closes the connection, or for a moment.
func (c *cluster) sendFrames(m *member, name string, frames [][]byte) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+m.peers+peer.Path, &websocket.DialOptions{
		HTTPHeader: http.Header{"Authorization": {"Bearer " + peerToken}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		c.t.Errorf("%s: %v", name, err)
		return
	}
	defer func() { _ = conn.CloseNow() }()
	for _, f := range frames {
		// The instance may have closed the connection already.
		_ = conn.Write(ctx, websocket.MessageBinary, f)
	}
	for {
		if _, _, err := conn.Read(ctx); err != nil {
			return
		}
	}
}
