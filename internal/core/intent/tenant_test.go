package intent

import (
	"math"
	"testing"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

func TestAKeyNamesItsHolder(t *testing.T) {
	g := NewWithT(t)
	made := &Intent{Tenants: []*Tenant{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}, Rate: 5}}}
	g.Expect(made.Seal()).To(Succeed())
	g.Expect(made.Holder("k2").Name).To(Equal("a"))
	g.Expect(made.Holder("k3").Name).To(Equal("b"))
	g.Expect(made.Holder("k4")).To(BeNil())
	g.Expect(made.Holder("")).To(BeNil())
	g.Expect(made.Tenant("b").Limited()).To(BeTrue())
	g.Expect(made.Limited()).To(BeTrue())
	g.Expect(made.NeedsKey(&Route{})).To(BeTrue())
	g.Expect(made.NeedsKey(&Route{Public: true})).To(BeFalse())
	g.Expect((&Intent{}).NeedsKey(&Route{})).To(BeFalse())
}

func TestBadTenantsAreRefusedWithoutNamingKeys(t *testing.T) {
	for _, tc := range []struct {
		name    string
		tenants []*Tenant
		want    string // part of the error
	}{
		{"two holders of a key", []*Tenant{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, "same key"},
		{"a key twice at one tenant", []*Tenant{{Name: "a", Keys: []string{"secret", "secret"}}}, "same key"},
		{"two of one name", []*Tenant{{Name: "a"}, {Name: "a"}}, "listed twice"},
		{"no name", []*Tenant{{Keys: []string{"secret"}}}, "name is missing"},
		{"a name that no header carries", []*Tenant{{Name: "a\r\nb"}}, "not usable"},
		{"an empty key", []*Tenant{{Name: "a", Keys: []string{"secret", ""}}}, "key is empty"},
		{"a negative rate", []*Tenant{{Name: "a", Keys: []string{"secret"}, Rate: -1}}, "rate"},
		{"a rate that is no number", []*Tenant{{Name: "a", Rate: math.NaN()}}, "rate"},
		{"a negative burst", []*Tenant{{Name: "a", Keys: []string{"secret"}, Burst: -1}}, "burst"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			err := (&Intent{Tenants: tc.tenants}).Seal()
			g.Expect(failure.KindOf(err)).To(Equal(failure.BadInput))
			g.Expect(err).To(MatchError(And(ContainSubstring(tc.want), ContainSubstring("remedy"), Not(ContainSubstring("secret")))))
		})
	}
}
