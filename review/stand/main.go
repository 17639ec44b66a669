// Command stand plays a case of the review: it starts the project's programs against stand-ins of
// clients, replicas and the platform, and checks one rule. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case; its value is the exit status.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// cases are the cases by name.
var cases = map[string]func(fleet *fleet, trouble bool) verdict{
	"handover": playHandover,
	"crashes":  playCrashes,
	"large":    playLarge,
	"segments": playSegments,
	"versions": playVersions,
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (log *record) line(format string, values ...any) {
	log.mutex.Lock()
	defer log.mutex.Unlock()

	fmt.Fprintf(log.file, "%8.3f  %s\n", time.Since(log.began).Seconds(), fmt.Sprintf(format, values...))
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(int(notRun))
	}
}

// await waits until a condition holds and returns false if it does not in time.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}

	return false
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(int(notRun))
	}

	file, err := os.Create(os.Args[2])
	check(err)

	log := &record{file: file, began: time.Now()}
	fleet := newFleet(log)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)

	go func() {
		<-signals
		fleet.close()
		os.Exit(int(notRun))
	}()

	trouble := os.Getenv("TROUBLE") != "0"
	log.line("case %s, disruption %t", os.Args[1], trouble)

	result := cases[os.Args[1]](fleet, trouble)
	text := [...]string{"The rule held.", "The rule was broken.", "The case could not run."}[result]
	log.line("%s", text)
	fmt.Println(text)
	fleet.close()
	os.Exit(int(result))
}
