package eventlog

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"
)

// pipeBuf is the largest write to a pipe that Linux performs atomically (PIPE_BUF).
const pipeBuf = 4096

// lineWriter batches whole lines into writes of at most pipeBuf bytes, so that lines of
// processes that share a pipe are not interleaved. A longer line is written on its own.
type lineWriter struct {
	out     io.Writer
	buffer  []byte
	line    bytes.Buffer // output of encoder, which would keep an error of out
	encoder *json.Encoder
	layouts map[reflect.Type]*lineLayout // by type of the event
}

func newLineWriter(output io.Writer) *lineWriter {
	w := &lineWriter{out: output, buffer: make([]byte, 0, pipeBuf), layouts: map[reflect.Type]*lineLayout{}}
	w.encoder = json.NewEncoder(&w.line)
	return w
}

// timestampFormat is the format of the time of a line.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// writeEvent writes the line of an event.
func (w *lineWriter) writeEvent(node string, at time.Time, event Event) error {
	value := reflect.ValueOf(event)
	layout := w.layouts[value.Type()]
	if layout == nil {
		layout = newLineLayout(value.Type(), node, event.Kind())
		w.layouts[value.Type()] = layout
	}
	w.line.Reset()
	if err := w.encoder.Encode(layout.fill(value, at)); err != nil {
		return err
	}
	_, err := w.Write(w.line.Bytes())
	return err
}

// lineLayout is the struct that is encoded for events of one type. Its fields are those of the event
// and those of every line, sorted by name, as an encoded map would have them. Encoding a struct saves
// building and sorting a map for each line.
type lineLayout struct {
	line   reflect.Value // pointer to the struct, reused for each line
	time   reflect.Value
	fields []reflect.Value // of the struct, in the order of the event's fields
}

func newLineLayout(event reflect.Type, node, kind string) *lineLayout {
	type column struct {
		name string
		typ  reflect.Type
		tag  string
	}
	text := reflect.TypeFor[string]()
	columns := []column{{"time", text, ""}, {"level", text, ""}, {"node", text, ""}, {"msg", text, ""}}
	names := []string{}
	for index := range event.NumField() {
		name, options, _ := strings.Cut(event.Field(index).Tag.Get("json"), ",")
		if options == "omitempty" {
			options = ",omitzero" // an empty list that is not nil is written
		}
		columns = append(columns, column{name, event.Field(index).Type, options})
		names = append(names, name)
	}
	slices.SortFunc(columns, func(a, b column) int { return strings.Compare(a.name, b.name) })
	fields, position := make([]reflect.StructField, len(columns)), map[string]int{}
	for i, c := range columns {
		position[c.name] = i
		fields[i] = reflect.StructField{Name: "Field_" + c.name, Type: c.typ, Tag: reflect.StructTag(`json:"` + c.name + c.tag + `"`)}
	}
	line := reflect.New(reflect.StructOf(fields))
	field := func(name string) reflect.Value { return line.Elem().Field(position[name]) }
	field("level").SetString("info")
	field("node").SetString(node)
	field("msg").SetString(kind)
	layout := &lineLayout{line: line, time: field("time")}
	for _, name := range names {
		layout.fields = append(layout.fields, field(name))
	}
	return layout
}

// fill sets the fields to those of an event and returns the pointer to the struct.
func (l *lineLayout) fill(event reflect.Value, at time.Time) any {
	l.time.SetString(at.Format(timestampFormat))
	for index, field := range l.fields {
		field.Set(event.Field(index))
	}
	return l.line.Interface()
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
