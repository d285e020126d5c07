package eventlog

import "io"

// pipeBuf is the largest write to a pipe that Linux performs atomically (PIPE_BUF).
const pipeBuf = 4096

// lineWriter batches whole lines into writes of at most pipeBuf bytes, so that lines of
// processes that share a pipe are not interleaved. A longer line is written on its own.
type lineWriter struct {
	out    io.Writer
	buffer []byte
}

func newLineWriter(output io.Writer) *lineWriter {
	return &lineWriter{out: output, buffer: make([]byte, 0, pipeBuf)}
}

// Write buffers one or more whole lines.
func (w *lineWriter) Write(line []byte) (int, error) {
	if len(w.buffer)+len(line) > pipeBuf {
		if err := w.Flush(); err != nil {
			return 0, err
		}
	}
	if len(line) > pipeBuf {
		return w.out.Write(line)
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Flush writes the buffered lines.
func (w *lineWriter) Flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	_, err := w.out.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return err
}
