// Package failure provides errors with a kind and a remedy. Every error shown to users has a kind,
// a description of the problem and a suggestion for how to resolve it.
package failure

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies errors by how the caller can handle them.
type Kind string

// Kinds of errors.
const (
	// BadInput means that the input must be corrected before retrying.
	BadInput Kind = "bad_input"
	// Conflict means that a concurrent change came first.
	Conflict Kind = "conflict"
	// Unavailable means that an external system cannot be reached at the moment.
	Unavailable Kind = "unavailable"
	// RateLimited means that an external system limits the request rate.
	RateLimited Kind = "limited"
	// Uncertain means that the response to a change was lost; the change may have been applied.
	Uncertain Kind = "uncertain"
	// Untrusted means that a signature, signer or certificate could not be verified.
	Untrusted Kind = "untrusted"
	// NotFound means that the requested object does not exist.
	NotFound Kind = "missing"
	// Internal means a bug in landingmast.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Cause   error
}

// Error returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	text := e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		text += " (remedy: " + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of a kind with a formatted message.
func New(kind Kind, remedy, format string, args ...any) error {
	return errors.Trace(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Wrap returns an error of a kind with a formatted message that wraps cause.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	return errors.Trace(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause})
}

// KindOf returns the kind of an error, or Internal if it has none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// Is reports whether an error is of a kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
