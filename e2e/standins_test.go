package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"knapweedstall/emulator/platform"
	"knapweedstall/emulator/target"
)

// controlTargets drives the target stand-ins; path includes the selection.
func (c *cluster) controlTargets(method, path string, body, out any) {
	c.t.Helper()
	c.drive(method, c.control, path, body, out)
}

// faultPlatform replaces the faults of the platform stand-in.
func (c *cluster) faultPlatform(f platform.Faults) {
	c.t.Helper()
	c.drive(http.MethodPut, c.platform, "/faults", f, nil)
}

func (c *cluster) drive(method, address, path string, body, out any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	status, reply, err := c.call(method, address, path, "", data)
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

// calls returns the calls that the selected targets received from since on.
func (c *cluster) calls(selection string, since time.Time) []target.Call {
	c.t.Helper()
	var out []target.Call
	c.controlTargets(http.MethodGet, fmt.Sprintf("/calls?%s&sinceUnixMs=%d", selection, since.UnixMilli()), nil, &out)
	return out
}

// requireNoOverload fails the test when a target got more than it bears, or
// items of several workspaces in one call.
func (c *cluster) requireNoOverload() {
	c.t.Helper()
	var n target.Counts
	c.controlTargets(http.MethodGet, "/counts", nil, &n)
	if n.Calls == 0 || n.OverLimit != 0 || n.OverLimitCold != 0 || n.MixedWorkspaces != 0 {
		c.t.Errorf("targets report %+v", n)
	}
	if n.OverLimit == 0 {
		return
	}
	for _, call := range c.calls("", time.Time{}) {
		if call.Running > call.Capacity && call.Capacity > 0 {
			c.t.Logf("over the limit: %+v", call)
		}
	}
}
