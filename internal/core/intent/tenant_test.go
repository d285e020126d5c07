package intent

import (
	"math"
	"testing"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

func TestTenantLookup(t *testing.T) {
	g := NewWithT(t)
	configuration := &Intent{Tenants: []*Tenant{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}, Rate: 5}}}
	g.Expect(configuration.Seal()).To(Succeed())
	g.Expect(configuration.TenantByKey("k2").Name).To(Equal("a"))
	g.Expect(configuration.TenantByKey("k3").Name).To(Equal("b"))
	g.Expect(configuration.TenantByKey("k4")).To(BeNil())
	g.Expect(configuration.TenantByKey("")).To(BeNil())
	g.Expect(configuration.TenantByName("b").HasRateLimit()).To(BeTrue())
	g.Expect(configuration.HasRateLimits()).To(BeTrue())
	g.Expect(configuration.RequiresKey(&Route{})).To(BeTrue())
	g.Expect(configuration.RequiresKey(&Route{Public: true})).To(BeFalse())
	g.Expect((&Intent{}).RequiresKey(&Route{})).To(BeFalse())
}

func TestSealRejectsInvalidTenantsWithoutLoggingKeys(t *testing.T) {
	for _, tc := range []struct {
		name    string
		tenants []*Tenant
		want    string // part of the error
	}{
		{"key shared by two tenants", []*Tenant{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, "same key"},
		{"duplicate key of one tenant", []*Tenant{{Name: "a", Keys: []string{"secret", "secret"}}}, "same key"},
		{"duplicate name", []*Tenant{{Name: "a"}, {Name: "a"}}, "listed twice"},
		{"empty name", []*Tenant{{Keys: []string{"secret"}}}, "name is missing"},
		{"name not allowed in a header", []*Tenant{{Name: "a\r\nb"}}, "not usable"},
		{"empty key", []*Tenant{{Name: "a", Keys: []string{"secret", ""}}}, "key is empty"},
		{"negative rate", []*Tenant{{Name: "a", Keys: []string{"secret"}, Rate: -1}}, "rate"},
		{"rate is not a number", []*Tenant{{Name: "a", Rate: math.NaN()}}, "rate"},
		{"negative burst", []*Tenant{{Name: "a", Keys: []string{"secret"}, Burst: -1}}, "burst"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			err := (&Intent{Tenants: tc.tenants}).Seal()
			g.Expect(failure.KindOf(err)).To(Equal(failure.BadInput))
			g.Expect(err).To(MatchError(And(ContainSubstring(tc.want), ContainSubstring("remedy"), Not(ContainSubstring("secret")))))
		})
	}
}

// A tenant is entitled to a scarce service by its rate limit and by its priority where they are set.
func TestShareWeights(t *testing.T) {
	for _, tc := range []struct {
		name    string
		tenants []*Tenant
		want    []float64
	}{
		{"neither limits nor priorities", []*Tenant{{Name: "a"}, {Name: "b"}}, []float64{1, 1}},
		{"limits", []*Tenant{{Name: "a", Rate: 30}, {Name: "b", Rate: 10}, {Name: "c"}}, []float64{30, 10, 20}},
		{"priorities", []*Tenant{{Name: "a", HasPriority: true}, {Name: "b", HasPriority: true, Priority: 2}, {Name: "c"}}, []float64{4, 1, 1}},
		{"both", []*Tenant{{Name: "a", Rate: 30, HasPriority: true}, {Name: "b", Rate: 10, HasPriority: true, Priority: 1}}, []float64{60, 10}},
		{"priorities far apart", []*Tenant{{Name: "a", HasPriority: true}, {Name: "b", HasPriority: true, Priority: 1 << 40}}, []float64{1024, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect((&Intent{Tenants: tc.tenants}).Seal()).To(Succeed())
			for index, want := range tc.want {
				g.Expect(tc.tenants[index].ShareWeight()).To(Equal(want), tc.tenants[index].Name)
			}
		})
	}
}
