package peer

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/wire"
)

// ReadMessage reads a message of control that another node has sent. It gives false when
// the sender went away or sent something else; the answer is then written.
func ReadMessage[M any](w http.ResponseWriter, r *http.Request, messages *codec.Codec[M]) (*M, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxMessage))
	if err != nil {
		return nil, false // the sender has gone
	}
	message, err := messages.Decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return message, true
}

// WriteMessage writes the answer to a message of control.
func WriteMessage[M any](w http.ResponseWriter, messages *codec.Codec[M], answer *M) {
	encoded, err := messages.Encode(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	BareAnswer(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded) // a sender that has gone asks again
}

// Ask sends a message of control to the node at an address and reads its answer.
func Ask[Q, A any](ctx context.Context, client *Client, address, path string, questions *codec.Codec[Q], question *Q, answers *codec.Codec[A]) (*A, error) {
	data, err := questions.Encode(question)
	if err != nil {
		return nil, err
	}
	read, err := client.Post(ctx, address, path, data)
	if err != nil {
		return nil, err
	}
	return answers.Decode(read)
}
