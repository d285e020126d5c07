// Command standins plays a case of the independent review: it starts landingmastd sidecar processes with
// stand-ins for the platform's store, targets and clients, and checks a rule by what these have seen.
//
//	standins CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(w *World, trouble bool) (broken []string, err error){
	"twice":   playTwice,
	"leaving": playLeaving,
	"stop":    playStop,
	"foreign": playForeignBeat,
	"memory":  playMemory,
}

// note writes a line to the record and to standard output.
func (w *World) note(format string, values ...any) string {
	text := fmt.Sprintf(format, values...)
	w.Record.Add("%s", text)
	fmt.Println(text)
	return text
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		os.Exit(2)
	}
	w, err := NewWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		w.Close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		status = 2
	case len(broken) > 0:
		w.note("the rule was broken %d times", len(broken))
		status = 1
	default:
		w.note("the rule held")
	}
	w.Close()
	os.Exit(status)
}
