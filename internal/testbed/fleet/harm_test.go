package fleet

import (
	"github.com/landingmast/landingmast/internal/testbed/client"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
)

// addHarmful has requests of a path on a route end their targets.
func (m *Mesh) addHarmful(route deployment.Route, path string) {
	body := client.BodyOf(route)
	m.Judge.ExpectHarmful(path, body)
	m.Harmful.Add(path, body)
}
