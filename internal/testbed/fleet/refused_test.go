package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
	. "github.com/onsi/gomega"
)

// opaqueReader hides the type of a body from net/http, which then cannot replay the request.
type opaqueReader struct{ io.Reader }

// Refusing a request before its body is read must keep the connection open. Guards against losing
// the next request on it; see docs/incidents/refused-with-unread-body.md.
func TestARefusedRequestKeepsItsConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const requests = 50
	dialled, lost, refused := 0, 0, 0
	runMesh(t, deployment.ThreeTier(), 2*time.Second, func(mesh *testbed.Mesh) {
		machine := mesh.Machines[0]
		dial := mesh.Network.Dialer(machine.IP)
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialled++
			return dial(ctx, network, address)
		}}
		defer transport.CloseIdleConnections()
		for range requests {
			request, err := http.NewRequest(http.MethodPost, "http://"+machine.Outbound()+"/no-such-route", io.NopCloser(opaqueReader{strings.NewReader("body")}))
			g.Expect(err).NotTo(HaveOccurred())
			request.ContentLength = int64(len("body"))
			request.Header.Set("X-Request-Id", "of-a-refused-request")
			response, err := transport.RoundTrip(request)
			if err != nil {
				lost++
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNotFound {
				refused++
			}
		}
	})
	g.Expect(lost).To(BeZero())
	g.Expect(refused).To(Equal(requests))
	g.Expect(dialled).To(Equal(1))
}
