package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientTransport opens a connection for each request, so that it never sends one again by itself.
var clientTransport = &http.Transport{
	DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}

var errNotAcknowledged = errors.New("the leaving of the target was not acknowledged")

// send sends a request to a node's outbound address and reads the whole answer. The client leaves after
// the timeout; X-Deadline-Ms says how long it waits.
func send(address, method, path, id string, deadline time.Duration, body []byte) (status int, content []byte, err error) {
	return sendAndLeave(address, method, path, id, deadline, deadline+500*time.Millisecond, body)
}

func sendAndLeave(address, method, path, id string, deadline, leaveAfter time.Duration, body []byte) (status int, content []byte, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body == nil {
		request.Body = nil
	}
	request.Host = Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Transport: clientTransport, Timeout: leaveAfter}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("incomplete answer: %w", err)
	}
	return response.StatusCode, content, nil
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 16) }
