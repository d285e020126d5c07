package headers

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against passing on headers of a single connection or of the nodes, in a copy and in place.
func TestEndToEndLeavesOutLocalHeaders(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{
		"Connection": {"close, X-Option", "x-other"}, "X-Option": {"1"}, "X-Other": {"1"}, "Te": {"trailers"}, "Keep-Alive": {"timeout=5"},
		"Content-Length": {"5"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"x"}, "Trailer": {"X-T"}, "Landingmast-Grant": {"1"},
		"Proxy-Authorization": {"a"}, "Proxy-Authenticate": {"a"}, "Proxy-Connection": {"a"},
		"Accept": {"a", "b"}, "X-Request-Id": {"1"},
	}
	want := http.Header{"Accept": {"a", "b"}, "X-Request-Id": {"1"}}
	before := header.Clone()
	g.Expect(EndToEnd(header)).To(Equal(want))
	g.Expect(header).To(Equal(before))
	g.Expect(KeepEndToEnd(header)).To(Equal(want))
	g.Expect(header).To(Equal(want))
}

func BenchmarkEndToEnd(b *testing.B) {
	from := http.Header{
		"Accept": {"application/json"}, "User-Agent": {"client/1.0"}, "X-Trace-Id": {"0123456789abcdef"}, "X-Request-Id": {"1"},
		"Content-Length": {"0"}, "Landingmast-Sidecar-Call": {"x"}, "Landingmast-Grant": {"500"}, "X-Deadline-Ms": {"2000"},
	}
	b.ReportAllocs()
	for range b.N {
		EndToEnd(from)
	}
}
