// Package failure holds the typed error kinds of landingmast. Every error that
// reaches a person carries its kind, what is wrong and what to do about it.
package failure

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind sorts errors by what the receiver can do about them.
type Kind string

// The kinds of error.
const (
	// BadInput is input that has to be corrected before it is tried again.
	BadInput Kind = "bad_input"
	// Conflict is a lost race; the message names the winner.
	Conflict Kind = "conflict"
	// Unavailable is an outside system that cannot be reached now.
	Unavailable Kind = "unavailable"
	// Limited is an outside system that asks for fewer requests.
	Limited Kind = "limited"
	// Uncertain is a change whose answer was lost; it may have taken effect.
	Uncertain Kind = "uncertain"
	// Untrusted is a signature, signer or certificate that does not check.
	Untrusted Kind = "untrusted"
	// Missing is something that was asked for and is not there.
	Missing Kind = "missing"
	// Internal is a fault of landingmast itself.
	Internal Kind = "internal"
)

// Error is an error with its kind and its remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Cause   error
}

// Error gives the message, the cause and the remedy on one line.
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

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New makes an error of a kind, traced to its caller.
func New(kind Kind, remedy, format string, arguments ...any) error {
	return errors.Trace(&Error{Kind: kind, Message: fmt.Sprintf(format, arguments...), Remedy: remedy})
}

// Wrap makes an error of a kind around a cause, traced to its caller.
func Wrap(cause error, kind Kind, remedy, format string, arguments ...any) error {
	return errors.Trace(&Error{Kind: kind, Message: fmt.Sprintf(format, arguments...), Remedy: remedy, Cause: cause})
}

// KindOf gives the kind of an error; Internal when it carries none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// Is tells whether an error is of a kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
