package eventlog

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference gives the page docs/LOGS.md, made from the types of the events.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Log lines of a sidecar node\n\n")
	page.WriteString("Written by `landingmast-lab reference` from internal/sidecar/eventlog; don't edit.\n\n")
	page.WriteString("One JSON object a line on standard output. Every line has `time`, `level`, `node` and `msg`, the kind of the event.\n")
	fmt.Fprintf(&page, "A node writes at most %d lines a second on failed requests, %d on others and %d on changes of state;\n", perSecond[Failure], perSecond[Success], perSecond[State])
	page.WriteString("`omitted` says how many more there were. Times are in milliseconds.\n")
	for _, event := range All() {
		fmt.Fprintf(&page, "\n## %s\n\n| field | type | meaning |\n|---|---|---|\n", event.Kind())
		rows(&page, reflect.TypeOf(event), "")
	}
	return page.String()
}

func rows(page *strings.Builder, of reflect.Type, prefix string) {
	for index := range of.NumField() {
		field := of.Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fmt.Fprintf(page, "| `%s%s` | %s | %s |\n", prefix, name, field.Type.Kind(), field.Tag.Get("doc"))
		if field.Type.Kind() == reflect.Slice {
			rows(page, field.Type.Elem(), name+"[].")
		}
	}
}
