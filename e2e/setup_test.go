package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"knapweedstall/io/operator"
)

// fileTicket files a ticket (a numbered change of the configuration) through an
// instance. The status is 0 when there was no reply.
func (c *cluster) fileTicket(inst *instance, body []byte) (int, operator.Accepted, operator.Error) {
	var a operator.Accepted
	var e operator.Error
	status, data, err := c.sendHTTP(http.MethodPost, inst.operatorAddr, "/v1/tickets", adminToken, body)
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

// setUp files the first ticket and waits until every instance answers with complete
// coverage.
func (c *cluster) setUp() {
	c.t.Helper()
	eventually(c.t, 10*time.Second, "the first ticket is accepted", func() bool {
		status, a, e := c.fileTicket(c.instances[0], c.firstTicket)
		if status != 0 && status != http.StatusCreated && e.Code != operator.CodeUnavailable {
			c.t.Fatalf("first ticket refused: status %d, %+v", status, e)
		}
		return status == http.StatusCreated && a.Number == 1
	})
	for _, inst := range c.instances {
		eventually(c.t, 20*time.Second, inst.id+" answers completely", func() bool {
			status, a, _ := c.query(inst, tokenA, "dockdesk", "pickup")
			return complete(status, a) && a.Config == 1
		})
	}
}

// Guards against a failure anywhere between a caller and the targets: every instance
// must answer a query with all shards, most of which other instances fetch.
func TestEveryInstanceAnswersCompletely(t *testing.T) {
	newCluster(t, 3, 4).setUp()
}
