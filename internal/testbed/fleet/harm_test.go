package fleet

import (
	"net/http"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
)

// sendHarmful sends a harmful request on a route as a client does, with its retry.
func (m *Mesh) sendHarmful(machine *Machine, route deployment.Route, path string) {
	deadline := time.Now().Add(route.Deadline)
	for range 2 {
		tenant, key := m.caller()
		status, retryAfter := m.attempt(machine, route, path, tenant, key, deadline)
		if status == http.StatusOK || route.Kind == deployment.Unsafe && status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		machine = m.anyIn()
	}
}

// addHarmful has requests of a path on a route end their targets.
func (m *Mesh) addHarmful(route deployment.Route, path string) {
	body := ""
	if route.Kind == deployment.Unsafe {
		body = strings.Repeat("b", max(route.Body, 1))
	}
	m.Judge.ExpectHarmful(path, body)
	m.Harmful.Add(path, body)
}
