package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/logquery"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// Operators must see which routes hold the slots of a service that is asked for more than it provides,
// and which tenants, and nothing of services with room.
func TestNodesLogWhoHoldsTheSlotsOfAScarceService(t *testing.T) {
	g := NewWithT(t)
	plan := sharedPlan(1.8)
	plan.Tenants = deployment.Tenants(12, 0, 0)
	plan.Tenants[3].Share = 11 // as much as all others
	lines := collectLogs(t, plan, nil)
	begin := lines[0].Time
	during := slices.IndexFunc(lines, func(line logquery.Line) bool { return line.Time.Sub(begin) > testbed.StartupTime+6*time.Second })
	lines = lines[:during] // the load lasts 8 s
	rooms := logquery.Room(lines)
	g.Expect(rooms).To(HaveLen(1))
	deep := rooms[0]
	t.Logf("%+v", deep)
	g.Expect(deep.Service).To(Equal("deep"))
	g.Expect(deep.Offered).To(BeNumerically(">", 0.95))
	running := 0
	for _, route := range deep.Routes {
		running += route.Running
	}
	g.Expect(deep.Routes).To(HaveLen(2), "the calls of one route and the requests of another")
	g.Expect(running).To(Equal(deep.Running))
	g.Expect(deep.Tenants[0].Name).To(Equal(plan.Tenants[3].Name))
	g.Expect(deep.Tenants[len(deep.Tenants)-1].Rest).To(BeTrue(), "a node states 8 tenants one by one")
	g.Expect(deep.Age).To(BeNumerically("<=", 2), "of the last statement, in seconds")
	statements := 0
	for _, line := range lines {
		if line.Kind == "room" {
			statements++
		}
	}
	g.Expect(statements).To(BeNumerically("<=", 4*(8/2+1)), "4 targets, at most one in 2 s each")
}
