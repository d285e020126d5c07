// Package reference writes docs/CONFIGURATION.md out of the doc comments of the
// structs that settings, bundles and experiments are read into, so that the page
// and the code cannot drift apart.
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/landingmast/landingmast/internal/failure"
)

// source is a file whose structs are documented, the root struct first.
type source struct {
	title string
	about string
	file  string
	root  string
}

var sources = []source{
	{"Settings of a node", "One file for each `landingmastd`, named with `--settings`; `--log-level` goes before it, `--check` only checks. Unknown keys, values without their unit, unusable addresses and double names are refused at start with the key and the remedy (exit code 2). Complete files: examples/.", "internal/mesh/config/settings.go", "Settings"},
	{"Settings of a sidecar node", "One file for each `landingmastd sidecar`; on the users' platform it is filled from deploy/settings.yaml. Checked like the settings above at start, and again when the file changes, with SIGHUP or without: a changed file that is refused is logged and the one before stays in force. `node`, `zone`, `listen`, `store` and `first_start` count at a start only. See docs/SIDECAR.md.", "internal/sidecar/settings/settings.go", "Settings"},
	{"Bundle", "The operators' intent; one file for a mesh. Spans are written with their unit, e.g. `250ms`. `landingmast bundle check` checks one.", "internal/mesh/core/bundle/bundle.go", "Bundle"},
	{"Experiment", "Read by `landingmast-lab experiments` and `emulate`; files in experiments/.", "internal/mesh/lab/experiment/experiment.go", "Experiment"},
}

// Page gives the text of docs/CONFIGURATION.md for the tree at root.
func Page(root string) (string, error) {
	var page strings.Builder
	page.WriteString("# Configuration\n\nMade by `make reference` out of the structs; do not edit by hand.\n")
	for _, one := range sources {
		structs, err := parse(filepath.Join(root, one.file))
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n| key | type | meaning |\n|---|---|---|\n", one.title, one.about)
		write(&page, structs, one.root, "")
	}
	return page.String(), nil
}

func parse(file string) (map[string]*ast.StructType, error) {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "run it in the project's folder", "file %s", file)
	}
	structs := map[string]*ast.StructType{}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if declared, isType := node.(*ast.TypeSpec); isType {
			if structure, isStruct := declared.Type.(*ast.StructType); isStruct {
				structs[declared.Name.Name] = structure
			}
		}
		return true
	})
	return structs, nil
}

// write writes the rows of a struct and of the structs in it.
func write(page *strings.Builder, structs map[string]*ast.StructType, name, prefix string) {
	about := ""
	for _, field := range structs[name].Fields.List {
		key := yamlKey(field)
		if key == "" {
			continue
		}
		if text := strings.Join(strings.Fields(field.Doc.Text()), " "); text != "" {
			about = text
		}
		kind, list := typeOf(field.Type)
		path := prefix + key
		if list {
			path += "[]"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", path, readable(kind, structs), about)
		if structs[kind] != nil {
			write(page, structs, kind, path+".")
		}
	}
}

func yamlKey(field *ast.Field) string {
	if field.Tag == nil {
		return ""
	}
	tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("yaml")
	key, _, _ := strings.Cut(tag, ",")
	return key
}

// typeOf gives the name of a field's type and whether it is a list of it.
func typeOf(expression ast.Expr) (name string, list bool) {
	switch typed := expression.(type) {
	case *ast.Ident:
		return typed.Name, false
	case *ast.StarExpr:
		return typeOf(typed.X)
	case *ast.ArrayType:
		name, _ = typeOf(typed.Elt)
		return name, true
	case *ast.SelectorExpr:
		return typed.Sel.Name, false
	case *ast.MapType:
		return "map", false
	default:
		return "value", false
	}
}

var readableTypes = map[string]string{
	"string": "text", "int": "number", "int64": "number", "uint64": "number", "float64": "number", "Duration": "span", "Execution": "word", "TargetState": "word",
	"map": "class: share",
}

func readable(kind string, structs map[string]*ast.StructType) string {
	if structs[kind] != nil {
		return "group"
	}
	if word, known := readableTypes[kind]; known {
		return word
	}
	return kind
}
