package eventlog

import "io"

// pipeBytes is what a pipe takes in one undivided write (PIPE_BUF of Linux).
const pipeBytes = 4096

// lineWriter gathers lines and passes them on in writes that end with a line and
// are no longer than a pipe keeps together, so that processes that share a pipe
// do not tear each other's lines. A longer line is a write of its own.
type lineWriter struct {
	output io.Writer
	held   []byte
}

func newLineWriter(output io.Writer) *lineWriter {
	return &lineWriter{output: output, held: make([]byte, 0, pipeBytes)}
}

// Write takes one or more whole lines.
func (w *lineWriter) Write(line []byte) (int, error) {
	if len(w.held)+len(line) > pipeBytes {
		if err := w.Flush(); err != nil {
			return 0, err
		}
	}
	if len(line) > pipeBytes {
		return w.output.Write(line)
	}
	w.held = append(w.held, line...)
	return len(line), nil
}

// Flush passes on what is held.
func (w *lineWriter) Flush() error {
	if len(w.held) == 0 {
		return nil
	}
	_, err := w.output.Write(w.held)
	w.held = w.held[:0]
	return err
}
