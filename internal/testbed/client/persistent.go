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

// Intervals of SendPersistent.
const (
	requestInterval = 5 * time.Millisecond  // between requests on a connection
	reconnectDelay  = 50 * time.Millisecond // before a new connection is opened
)

// SendPersistent sends sequential requests on a persistent connection until ctx is done. When the
// connection closes, it connects to another machine.
func (c *Clients) SendPersistent(ctx context.Context, route deployment.Route) {
	for ctx.Err() == nil {
		origin := c.PickOrigin()
		if conn, err := c.Dialer(origin.IP)(ctx, "tcp", origin.Outbound); err == nil {
			reader := bufio.NewReader(conn)
			for ctx.Err() == nil && c.sendOnConn(conn, reader, origin, route) {
				time.Sleep(requestInterval)
			}
			_ = conn.Close()
		}
		time.Sleep(reconnectDelay)
	}
}

// sendOnConn sends a request on an open connection and reports whether the connection can be
// reused. It avoids http.Transport, which retries requests by itself.
func (c *Clients) sendOnConn(conn net.Conn, reader *bufio.Reader, origin Origin, route deployment.Route) bool {
	deadline := time.Now().Add(route.Deadline)
	id, uri := newRequestID(), route.Prefix+randomPathSuffix()
	c.Judge.Expect(id, origin.IP, uri, route.Service, origin.Service, route.AtMostOnce(), route.MaxAttempts)
	request, err := newRequest(context.Background(), origin, route, id, uri, deadline)
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(deadline)
	if request.Write(conn) != nil {
		c.Judge.ClientDisconnected(id)
		return false
	}
	response, err := http.ReadResponse(reader, request)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(response.Body)
	}
	if err != nil {
		c.Judge.ConnectionLost(id, deadline)
		c.Judge.ClientDisconnected(id)
		return false
	}
	c.Judge.Received(id, response.StatusCode, response.Header.Get("X-Response-Signature"), content)
	c.Tally.countStatus(response.StatusCode)
	return !response.Close
}
