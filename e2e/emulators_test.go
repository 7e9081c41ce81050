package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"knapweedstall/emulator/platform"
	"knapweedstall/emulator/target"
)

// controlTargets sends a request to the control interface of the target emulator. The
// query of path selects the targets; without one, it means all.
func (c *cluster) controlTargets(method, path string, body, out any) {
	c.t.Helper()
	c.sendControl(method, c.targetControlAddr, path, body, out)
}

// setPlatformFaults replaces the injected faults of the platform emulator.
func (c *cluster) setPlatformFaults(f platform.Faults) {
	c.t.Helper()
	c.sendControl(http.MethodPut, c.platformAddr, "/faults", f, nil)
}

// sendControl sends body as JSON to an emulator and decodes the reply into out, unless
// out is nil.
func (c *cluster) sendControl(method, address, path string, body, out any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	status, reply, err := c.sendHTTP(method, address, path, "", data)
	if err != nil || status >= http.StatusMultipleChoices {
		c.t.Fatalf("%s %s: status %d, %v", method, path, status, err)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(reply, out); err != nil {
		c.t.Fatal(err)
	}
}

// targetCalls returns the calls that the selected targets received since a time.
func (c *cluster) targetCalls(selection string, since time.Time) []target.Call {
	c.t.Helper()
	var out []target.Call
	c.controlTargets(http.MethodGet, fmt.Sprintf("/calls?%s&sinceUnixMs=%d", selection, since.UnixMilli()), nil, &out)
	return out
}

// requireNoOverload fails the test if a target got more concurrent calls than it
// supports, or a call with items of several workspaces.
func (c *cluster) requireNoOverload() {
	c.t.Helper()
	var n target.Counts
	c.controlTargets(http.MethodGet, "/counts", nil, &n)
	if n.Calls == 0 || n.OverLimit != 0 || n.OverLimitCold != 0 || n.MixedWorkspaces != 0 {
		c.t.Errorf("counts of the targets: %+v", n)
	}
	if n.OverLimit == 0 {
		return
	}
	for _, call := range c.targetCalls("", time.Time{}) {
		if call.Running > call.Capacity && call.Capacity > 0 {
			c.t.Logf("call over the concurrency limit: %+v", call)
		}
	}
}
