package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/testbed/deployment"
)

const (
	maxBurst = 24 // requests that a pipelining client sends at once: more than a node reads ahead
	maxPart  = 600
)

// pipelinedRequest is a request on a connection of SendPipelined whose response is outstanding.
type pipelinedRequest struct {
	id       string
	route    deployment.Route
	request  *http.Request
	deadline time.Time
}

// SendPipelined sends bursts of requests of random routes on a connection, each burst without waiting
// for responses, until ctx is done. When the connection closes, it connects to another machine. If
// leaveAfter is not 0, every second burst is abandoned after a random time up to it.
func (c *Clients) SendPipelined(ctx context.Context, routes []deployment.Route, leaveAfter time.Duration) {
	for ctx.Err() == nil {
		origin := c.PickOrigin()
		if conn, err := c.Dialer(origin.IP)(ctx, "tcp", origin.Outbound); err == nil {
			reader := bufio.NewReader(conn)
			for ctx.Err() == nil && c.sendBurst(conn, reader, origin, routes, leaveAfter) {
				time.Sleep(requestInterval)
			}
			_ = conn.Close()
		}
		time.Sleep(reconnectDelay)
	}
}

// sendBurst sends a burst, reads the responses and reports whether the connection can be reused.
func (c *Clients) sendBurst(conn net.Conn, reader *bufio.Reader, origin Origin, routes []deployment.Route, leaveAfter time.Duration) bool {
	var stream bytes.Buffer
	var outstanding []pipelinedRequest
	for range 1 + rand.IntN(maxBurst) {
		route := routes[rand.IntN(len(routes))]
		r := pipelinedRequest{id: newRequestID(), route: route, deadline: time.Now().Add(route.Deadline)}
		uri := route.Prefix + randomPathSuffix()
		c.Judge.Expect(r.id, origin.IP, uri, route.Service, origin.Service, route.AtMostOnce(), route.MaxAttempts)
		var err error
		if r.request, err = newRequest(context.Background(), origin, route, r.id, uri, r.deadline); err != nil || r.request.Write(&stream) != nil {
			return false
		}
		outstanding = append(outstanding, r)
	}
	leaves := leaveAfter > 0 && rand.IntN(2) == 0
	end := outstanding[len(outstanding)-1].deadline
	if leaves {
		end = time.Now().Add(rand.N(leaveAfter))
	}
	_ = conn.SetDeadline(end)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		writeInParts(conn, stream.Bytes())
	}()
	outstanding, reusable := c.receiveInOrder(reader, outstanding)
	if len(outstanding) > 0 {
		_ = conn.Close()
		for _, r := range outstanding {
			if !leaves {
				c.Judge.ConnectionLost(r.id, r.deadline)
			}
			c.Judge.ClientDisconnected(r.id)
		}
	}
	<-sent
	return reusable && len(outstanding) == 0
}

// writeInParts writes data in parts of random length.
func writeInParts(conn net.Conn, data []byte) {
	for len(data) > 0 {
		n := min(len(data), 1+rand.IntN(maxPart))
		if _, err := conn.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

// receiveInOrder reads the responses. It returns the requests without one, and whether the connection
// can be reused.
func (c *Clients) receiveInOrder(reader *bufio.Reader, outstanding []pipelinedRequest) (left []pipelinedRequest, reusable bool) {
	for len(outstanding) > 0 {
		r := outstanding[0]
		response, err := http.ReadResponse(reader, r.request)
		var content []byte
		if err == nil {
			content, err = io.ReadAll(response.Body)
		}
		if err != nil {
			return outstanding, false
		}
		outstanding = outstanding[1:]
		c.Judge.Received(r.id, response.StatusCode, response.Header.Get("X-Response-Signature"), content)
		c.Tally.count(c.Tally.Sent, r.route.Prefix)
		if response.StatusCode == http.StatusOK {
			c.Tally.count(c.Tally.Served, r.route.Prefix)
		}
		c.Tally.countStatus(response.StatusCode)
		if response.Close {
			return outstanding, false
		}
	}
	return nil, true
}
