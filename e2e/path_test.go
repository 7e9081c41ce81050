package e2e

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a path that breaks anywhere between a caller and the targets:
// every instance answers a query with every shard, most of which other
// instances fetch.
func TestWholePath(t *testing.T) {
	c := newCluster(t, 3, 4)
	status, body, err := c.call(http.MethodPut, c.platform, "/v1/objects/tickets/1", "", c.ticket, "If-None-Match", "*")
	if err != nil || status != http.StatusOK {
		t.Fatalf("ticket: status %d, %v, %s", status, err, body)
	}
	for _, m := range c.members {
		eventually(t, 10*time.Second, m.id+" answers completely", func() bool {
			status, a, _ := c.query(m, tokenA, "dockdesk", "pickup")
			return complete(status, a) && a.Config == 1
		})
	}
}
