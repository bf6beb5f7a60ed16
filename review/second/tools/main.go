// Command review-2 plays the cases of the second review: review-2 CASE FOLDER, from the root of the repository. It writes
// FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases are the cases by name. Each returns whether the rule held, and what was seen.
var cases = map[string]func(*lab) (status int, seen string, err error){
	"atonce":    atOnceCase,
	"memory":    memoryCase,
	"neweffect": newEffectCase,
	"resultset": resultSetCase,
	"weight":    weightCase,
}

// The programs are started on the main thread: they are killed when the thread ends that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer l.close()
	status, seen, err := cases[name](l)
	if err != nil {
		l.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	}
	verdict := []string{"held", "broken"}[status]
	l.note("the rule was %s: %s", verdict, seen)
	fmt.Printf("%s: %s\n", verdict, seen)
	return status
}
