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

// Keep sends requests one after the other on an open connection to a machine, until it is
// gone, and goes on with another machine then.
func (c *Clients) Keep(ctx context.Context, route deployment.Route) {
	for ctx.Err() == nil {
		origin := c.Any()
		if conn, err := c.Dialer(origin.IP)(ctx, "tcp", origin.Outbound); err == nil {
			reader := bufio.NewReader(conn)
			for ctx.Err() == nil && c.keptRequest(conn, reader, origin, route) {
				time.Sleep(5 * time.Millisecond)
			}
			_ = conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// keptRequest sends one request; false: the connection is of no more use. net/http's client
// is of none here, since it repeats requests by itself.
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
