package sidecar_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/testbed/deployment"
)

// Guards against responses that are too long to be buffered and break off: the context of a run at
// most once ended when its response began, and the connection to the target with it.
func TestLongResponsesArriveWhole(t *testing.T) {
	for _, kind := range []string{deployment.Safe, deployment.Unsafe} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			outbound := startHop(t, kind, 3*reply.MaxBuffered)
			client, err := net.Dial("tcp", outbound)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			reader := bufio.NewReader(client)
			awaitServed(t, client, reader, kind)
			for index := range 100 { // more than the target has slots
				if status := call(t, client, reader, kind, strconv.Itoa(index)); status != http.StatusOK {
					t.Fatalf("status %d", status)
				}
			}
		})
	}
}
