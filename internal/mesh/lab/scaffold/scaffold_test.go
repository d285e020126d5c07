package scaffold

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	. "github.com/onsi/gomega"
)

func TestExamplesAreUpToDateAndValid(t *testing.T) {
	for _, d := range []*deployment.Deployment{deployment.CoreArchive(), deployment.ExpenseClaims()} {
		g := NewWithT(t)
		files, err := Examples(d)
		g.Expect(err).NotTo(HaveOccurred())
		for path, data := range files {
			committed, err := os.ReadFile(filepath.Join("..", "..", "..", "..", "examples", path))
			g.Expect(err).NotTo(HaveOccurred(), "remedy: make examples")
			g.Expect(string(committed)).To(Equal(string(data)), path+": remedy: make examples")
			if filepath.Base(path) == "bundle.yaml" {
				_, err = bundle.Parse(committed)
			} else {
				_, err = config.Parse(committed)
			}
			g.Expect(err).NotTo(HaveOccurred(), path)
		}
	}
}
