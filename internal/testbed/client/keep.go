package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
)

// Pauses of Keep.
const (
	keptPause   = 5 * time.Millisecond  // between requests of a connection
	reopenPause = 50 * time.Millisecond // before the next connection
)

// Keep sends requests one after the other on an open connection, and opens one to another
// machine when it ends, until ctx is done.
func (c *Clients) Keep(ctx context.Context, route deployment.Route) {
	for ctx.Err() == nil {
		origin := c.Any()
		if conn, err := c.Dialer(origin.IP)(ctx, "tcp", origin.Outbound); err == nil {
			reader := bufio.NewReader(conn)
			for ctx.Err() == nil && c.keptRequest(conn, reader, origin, route) {
				time.Sleep(keptPause)
			}
			_ = conn.Close()
		}
		time.Sleep(reopenPause)
	}
}

// keptRequest sends a request on an open connection and reports whether another one can follow.
// It does without net/http's client, which repeats requests by itself.
func (c *Clients) keptRequest(conn net.Conn, reader *bufio.Reader, origin Origin, route deployment.Route) bool {
	deadline := time.Now().Add(route.Deadline)
	id, uri := newID(), route.Prefix+path()
	c.Judge.Expect(id, origin.IP, uri, route.Service, origin.Service, route.Kind == deployment.Unsafe, route.MaxAttempts)
	request, err := requestOf(context.Background(), origin, route, id, uri, deadline)
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(deadline)
	if request.Write(conn) != nil {
		c.Judge.Left(id)
		return false
	}
	response, err := http.ReadResponse(reader, request)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(response.Body)
	}
	if err != nil {
		c.Judge.Cut(id, deadline)
		c.Judge.Left(id)
		return false
	}
	c.Judge.Received(id, response.StatusCode, response.Header.Get("X-Response-Signature"), content)
	c.Tally.countStatus(response.StatusCode)
	return !response.Close
}
