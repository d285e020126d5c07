package peer

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/wire"
)

// ReadMessage reads a control message sent by another node. It returns false if the message cannot
// be read or decoded; a decoding error has then been sent as the response.
func ReadMessage[M any](w http.ResponseWriter, r *http.Request, messages *codec.Codec[M]) (*M, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxMessage))
	if err != nil {
		return nil, false // the sender disconnected
	}
	message, err := messages.Decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return message, true
}

// WriteMessage sends the response to a control message.
func WriteMessage[M any](w http.ResponseWriter, messages *codec.Codec[M], response *M) {
	encoded, err := messages.Encode(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	OmitDefaultHeaders(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded) // a disconnected sender retries
}

// RoundTrip sends a control message to a node and decodes its response.
func RoundTrip[Q, A any](ctx context.Context, client *Client, address, path string, questions *codec.Codec[Q], question *Q, answers *codec.Codec[A]) (*A, error) {
	data, err := questions.Encode(question)
	if err != nil {
		return nil, err
	}
	content, err := client.Post(ctx, address, path, data)
	if err != nil {
		return nil, err
	}
	return answers.Decode(content)
}
