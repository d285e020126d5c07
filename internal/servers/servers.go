// Package servers closes the HTTP servers of a node without cutting a request. It owns nothing; it
// relies on a count of the requests in flight whose handlers have not returned.
package servers

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// flushTime is how long answers may take to be written out once nothing is in flight: their
	// handlers have returned, net/http has not.
	flushTime = 200 * time.Millisecond
	poll      = 10 * time.Millisecond
)

// Close closes servers, all at the same time: requests in flight end, what still comes on open
// connections is answered. It returns when all connections were idle, when nothing has been in
// flight for flushTime, or when ctx ends; what is open then is cut.
func Close(ctx context.Context, servers []*http.Server, inFlight func() int64) {
	await(ctx, servers, inFlight)
	for _, server := range servers {
		_ = server.Close()
	}
}

func await(ctx context.Context, servers []*http.Server, inFlight func() int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { _ = server.Shutdown(ctx) })
	}
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		group.Wait()
	}()
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for quiet := time.Now(); time.Since(quiet) < flushTime; {
		select {
		case <-idle:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if inFlight() > 0 {
			quiet = time.Now()
		}
	}
}
