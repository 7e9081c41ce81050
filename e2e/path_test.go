package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"knapweedstall/io/operator"
)

// file files a ticket through a member.
func (c *cluster) file(m *member, body []byte) (int, operator.Accepted, operator.Error) {
	var a operator.Accepted
	var e operator.Error
	status, data, err := c.call(http.MethodPost, m.operator, "/v1/tickets", adminToken, body)
	if err != nil {
		return 0, a, e
	}
	if status == http.StatusCreated {
		_ = json.Unmarshal(data, &a)
	} else {
		_ = json.Unmarshal(data, &e)
	}
	return status, a, e
}

// setUp files the first ticket and waits until every member
// answers completely.
func (c *cluster) setUp() {
	c.t.Helper()
	eventually(c.t, 10*time.Second, "the first ticket is accepted", func() bool {
		status, a, e := c.file(c.members[0], c.ticket)
		if status != 0 && status != http.StatusCreated && e.Code != operator.CodeUnavailable {
			c.t.Fatalf("status %d, %+v", status, e)
		}
		return status == http.StatusCreated && a.Number == 1
	})
	for _, m := range c.members {
		eventually(c.t, 20*time.Second, m.id+" answers completely", func() bool {
			status, a, _ := c.query(m, tokenA, "dockdesk", "pickup")
			return complete(status, a) && a.Config == 1
		})
	}
}

// Guards against a path that breaks anywhere between a caller and the targets:
// every instance answers a query with every shard, most of which other
// instances fetch.
func TestWholePath(t *testing.T) {
	newCluster(t, 3, 4).setUp()
}
