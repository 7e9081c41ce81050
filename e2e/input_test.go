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

// refusedRequest is an invalid request and the status and error code that it must get.
type refusedRequest struct {
	name, method, path, token, body string
	status                          int
	code                            string
	header                          []string
}

// Guards against invalid requests of callers that crash an instance, are partly
// accepted, or get an error without a stable code.
func TestBadInputOfCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.setUp()
	inst := c.instances[0]
	searchInput := func(name, body string, status int, code caller.Code) refusedRequest {
		return refusedRequest{name: name, method: http.MethodPost, path: "/v1/query", token: tokenA, body: body, status: status, code: string(code)}
	}
	runInput := func(name, key, body string, code caller.Code) refusedRequest {
		return refusedRequest{
			name: name, method: http.MethodPost, path: "/v1/run", token: tokenA, body: body,
			status: http.StatusBadRequest, code: string(code), header: []string{"Idempotency-Key", key},
		}
	}
	const validBody = `{"collection":"dockdesk","query":"pickup"}`
	inputs := []refusedRequest{
		{"no token", http.MethodPost, "/v1/query", "", validBody, http.StatusUnauthorized, "unauthenticated", nil},
		{"wrong token", http.MethodPost, "/v1/query", "nobody", validBody, http.StatusUnauthorized, "unauthenticated", nil},
		{"admin token", http.MethodPost, "/v1/run", adminToken, validBody, http.StatusUnauthorized, "unauthenticated", nil},
		{"other route", http.MethodPost, "/v2/query", tokenA, validBody, http.StatusNotFound, "notFound", nil},
		{"other method", http.MethodDelete, "/v1/query", tokenA, validBody, http.StatusBadRequest, "badRequest", nil},
		searchInput("empty", "", 400, caller.CodeBadRequest),
		searchInput("null", "null", 400, caller.CodeBadRequest),
		searchInput("not JSON", "\x00\xff{", 400, caller.CodeBadRequest),
		searchInput("cut off", validBody[:20], 400, caller.CodeBadRequest),
		searchInput("array", `[1]`, 400, caller.CodeBadRequest),
		searchInput("two values", validBody+validBody, 400, caller.CodeBadRequest),
		searchInput("trailing bracket", validBody+"]", 400, caller.CodeBadRequest),
		searchInput("deep", strings.Repeat("[", 60000), 400, caller.CodeBadRequest),
		searchInput("unknown field", `{"collection":"dockdesk","query":"x","tenant":"rail-desk"}`, 400, caller.CodeBadRequest),
		searchInput("wrong type", `{"collection":7,"query":"x"}`, 400, caller.CodeBadRequest),
		searchInput("no collection", `{"query":"x"}`, 400, caller.CodeBadRequest),
		searchInput("unknown collection", `{"collection":"nowhere","query":"x"}`, 404, caller.CodeNotFound),
		searchInput("negative limit", `{"collection":"dockdesk","limit":-1}`, 400, caller.CodeBadRequest),
		searchInput("large limit", `{"collection":"dockdesk","limit":1001}`, 400, caller.CodeBadRequest),
		searchInput("fraction", `{"collection":"dockdesk","limit":1.5}`, 400, caller.CodeBadRequest),
		searchInput("negative deadline", `{"collection":"dockdesk","deadlineMs":-1}`, 400, caller.CodeBadRequest),
		searchInput("long deadline", `{"collection":"dockdesk","deadlineMs":2001}`, 400, caller.CodeBadRequest),
		searchInput("overflow", `{"collection":"dockdesk","deadlineMs":99999999999999999999}`, 400, caller.CodeBadRequest),
		searchInput("long query", fmt.Sprintf(`{"collection":"dockdesk","query":%q}`, strings.Repeat("x", 16<<10+1)), 400, caller.CodeBadRequest),
		searchInput("large body", fmt.Sprintf(`{"collection":"dockdesk","query":%q}`, strings.Repeat("x", 64<<10)), 413, caller.CodeTooLarge),
		runInput("no key", "", `{"collection":"dockdesk","payload":"x"}`, caller.CodeBadRequest),
		runInput("long key", strings.Repeat("k", 257), `{"collection":"dockdesk","payload":"x"}`, caller.CodeBadRequest),
		runInput("key in the body", "k", `{"collection":"dockdesk","payload":"x","key":"k"}`, caller.CodeBadRequest),
		runInput("long run deadline", "k", `{"collection":"dockdesk","payload":"x","deadlineMs":2001}`, caller.CodeBadRequest),
	}
	for _, in := range inputs {
		var e caller.Error
		c.requireRefusal(in, inst.callerAddr, &e)
		if string(e.Code) != in.code || e.Outcome != caller.OutcomeNotRun || e.Message == "" {
			t.Errorf("%s: %+v", in.name, e)
		}
	}
	c.requireServing(inst)
}

// Guards against invalid requests of operators that crash an instance, get an error
// without a stable code, or are partly accepted, which would change the configuration.
func TestBadInputOfOperators(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.setUp()
	inst := c.instances[0]
	ticketInput := func(name, body string, status int, code operator.Code) refusedRequest {
		return refusedRequest{name: name, method: http.MethodPost, path: "/v1/tickets", token: adminToken, body: body, status: status, code: string(code)}
	}
	changeInput := func(name, change string) refusedRequest {
		return ticketInput(name, `{"number":2,"filingId":"x","operator":"o","changes":[`+change+`]}`, 400, operator.CodeInvalid)
	}
	zoneChange := func(state string) string {
		return fmt.Sprintf(`{"scope":"zone/%s","value":{"region":"ga-central","state":%q}}`, zones[0], state)
	}
	inputs := []refusedRequest{
		{"no token", http.MethodPost, "/v1/tickets", "", "{}", http.StatusUnauthorized, "unauthenticated", nil},
		{"caller's token", http.MethodGet, "/v1/state", tokenA, "", http.StatusUnauthorized, "unauthenticated", nil},
		{"other route", http.MethodGet, "/v1/nothing", adminToken, "", http.StatusNotFound, "notFound", nil},
		{"not a number", http.MethodGet, "/v1/tickets/first", adminToken, "", http.StatusBadRequest, "invalid", nil},
		{"negative number", http.MethodGet, "/v1/tickets?from=-1", adminToken, "", http.StatusBadRequest, "invalid", nil},
		{"unknown ticket", http.MethodGet, "/v1/tickets/77", adminToken, "", http.StatusNotFound, "notFound", nil},
		ticketInput("empty", "", 400, operator.CodeInvalid),
		ticketInput("not JSON", "\x00\xff", 400, operator.CodeInvalid),
		ticketInput("two values", string(c.firstTicket)+"{}", 400, operator.CodeInvalid),
		ticketInput("deep", strings.Repeat("[", 100000), 400, operator.CodeInvalid),
		ticketInput("unknown field", `{"number":2,"operator":"o","urgent":true,"changes":[]}`, 400, operator.CodeInvalid),
		ticketInput("repeated field", `{"number":2,"number":3,"operator":"o","changes":[]}`, 400, operator.CodeInvalid),
		ticketInput("no change", `{"number":2,"operator":"o","changes":[]}`, 400, operator.CodeInvalid),
		ticketInput("large", `{"operator":"`+strings.Repeat("x", 1<<20)+`"}`, 413, operator.CodeTooLarge),
		ticketInput("number ahead", `{"number":9,"filingId":"x","operator":"o","changes":[`+zoneChange("in")+`]}`, 409, operator.CodeBehind),
		ticketInput("number taken", `{"number":1,"filingId":"x","operator":"o","changes":[`+zoneChange("in")+`]}`, 409, operator.CodeConflict),
		changeInput("unknown scope", `{"scope":"rack/7","value":{}}`),
		changeInput("no scope", `{"value":{}}`),
		changeInput("no value", `{"scope":"tuning"}`),
		changeInput("unknown state", zoneChange("half")),
		changeInput("scope twice", zoneChange("in")+","+zoneChange("in")),
		changeInput("unknown field of a value", `{"scope":"tuning","value":{"hedging":true,"maxBatch":4,"canary":true,"x":1}}`),
		changeInput("out of range", `{"scope":"tuning","value":{"hedging":true,"maxBatch":0,"canary":true}}`),
		changeInput("unknown collection", `{"scope":"tenant/t","value":{"weight":1,"collections":["nowhere"]}}`),
		changeInput("negative weight", `{"scope":"tenant/t","value":{"weight":-1,"collections":[]}}`),
	}
	for _, in := range inputs {
		var e operator.Error
		c.requireRefusal(in, inst.operatorAddr, &e)
		if string(e.Code) != in.code || e.Message == "" {
			t.Errorf("%s: %+v", in.name, e)
		}
		if in.code == "invalid" && in.path == "/v1/tickets" && len(e.Faults) == 0 {
			t.Errorf("%s: the error lists no faults: %+v", in.name, e)
		}
	}
	if records := c.auditRecords(inst); len(records) != 0 {
		t.Errorf("invalid tickets were accepted: %+v", records)
	}
	c.requireServing(inst)
}

// requireRefusal sends in, checks the status, and decodes the error into e.
func (c *cluster) requireRefusal(in refusedRequest, address string, e any) {
	c.t.Helper()
	status, data, err := c.sendHTTP(in.method, address, in.path, in.token, []byte(in.body), in.header...)
	if err != nil || status != in.status {
		c.t.Errorf("%s: status %d, want %d, %v, %s", in.name, status, in.status, err, data)
		return
	}
	if err := json.Unmarshal(data, e); err != nil {
		c.t.Errorf("%s: body %q is not an encoded error: %v", in.name, data, err)
	}
}

// requireServing checks that the instance runs and answers a query completely.
func (c *cluster) requireServing(inst *instance) {
	c.t.Helper()
	select {
	case <-inst.process.done:
		c.t.Fatalf("the process of %s has ended", inst.id)
	default:
	}
	if status, a, e := c.query(inst, tokenA, "dockdesk", "pickup"); !complete(status, a) {
		c.t.Errorf("%s does not answer completely: status %d, %+v, %+v", inst.id, status, a.Coverage, e)
	}
}

// Guards against invalid frames on the peer interface that crash an instance or stop
// it from serving.
func TestBadInputOfPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	c.setUp()
	inst := c.instances[0]
	for _, token := range []string{"", adminToken, tokenA} {
		status, data, err := c.sendHTTP(http.MethodGet, inst.peerAddr, peer.Path, token, nil)
		var e struct{ Code string }
		if err != nil || status != http.StatusUnauthorized || json.Unmarshal(data, &e) != nil || e.Code != "unauthenticated" {
			t.Errorf("token %q: status %d, %s, %v", token, status, data, err)
		}
	}
	if status, _, err := c.sendHTTP(http.MethodGet, inst.peerAddr, peer.Path, peerToken, nil); err != nil || status < 400 {
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
		"no hello":         {mustEncodeFrame(t, message.CancelSub{})},
		"garbage later":    {hello("intruder-2"), garbage},
		"empty later":      {hello("intruder-3"), {}},
		"truncated later":  {hello("intruder-4"), mustEncodeFrame(t, message.Gossip{})[:3]},
		"oversized":        {hello("intruder-5"), make([]byte, 5<<20)},
		"nil bodies later": {hello("intruder-6"), mustEncodeFrame(t, message.SubRequest{}, message.SubReply{}, message.RunRequest{}, message.RunReply{}, message.LeaseRenewal{}, message.TableBuckets{}, message.Tickets{})},
	} {
		c.sendFrames(inst, name, frames)
		c.requireServing(inst)
	}
	eventually(t, recoveryLimit, "complete answers", func() bool {
		status, a, _ := c.query(inst, tokenA, "dockdesk", "pickup")
		return complete(status, a)
	})
}

func mustEncodeFrame(t *testing.T, bodies ...message.Body) []byte {
	t.Helper()
	data, err := peer.Encode(peer.Frame{Bodies: bodies})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// sendFrames opens a peer connection to inst, sends the frames and waits until inst
// closes the connection, for at most 1 s in all.
func (c *cluster) sendFrames(inst *instance, name string, frames [][]byte) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+inst.peerAddr+peer.Path, &websocket.DialOptions{
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
