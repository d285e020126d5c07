package reference

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

func TestThePageIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	page, err := Page("../..")
	g.Expect(err).NotTo(HaveOccurred())
	committed, err := os.ReadFile("../../docs/CONFIGURATION.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(committed)).To(Equal(page), "remedy: make reference")
	g.Expect(page).To(ContainSubstring("| `classes[].retries` |"))
	g.Expect(page).To(ContainSubstring("| `platform.timeout` |"))
}
