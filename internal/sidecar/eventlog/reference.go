package eventlog

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the contents of docs/LOGS.md, generated from the event types.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Log lines of a sidecar node\n\n")
	page.WriteString("Written by `landingmast-lab reference` from internal/sidecar/eventlog; do not edit.\n\n")
	page.WriteString("One JSON object per line on standard output. Every line has `time`, `level`, `node` and `msg`, the kind of the event.\n")
	fmt.Fprintf(&page, "A node writes at most %d lines per second for failed requests, %d for other requests and %d for changes of state;\n", linesPerSecond[Failure], linesPerSecond[Success], linesPerSecond[State])
	page.WriteString("`omitted` reports the number of dropped lines. Times are in milliseconds.\n")
	for _, event := range All() {
		fmt.Fprintf(&page, "\n## %s\n\n| field | type | meaning |\n|---|---|---|\n", event.Kind())
		writeRows(&page, reflect.TypeOf(event), "")
	}
	return page.String()
}

func writeRows(page *strings.Builder, event reflect.Type, prefix string) {
	for index := range event.NumField() {
		field := event.Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fmt.Fprintf(page, "| `%s%s` | %s | %s |\n", prefix, name, field.Type.Kind(), field.Tag.Get("doc"))
		if field.Type.Kind() == reflect.Slice {
			writeRows(page, field.Type.Elem(), name+"[].")
		}
	}
}
