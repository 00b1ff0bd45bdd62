// Command standin2 plays the cases of the second review. It starts the programs of the
// deploy file as separate processes, beside stand-ins for the store, upstreams and clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world) (int, error){
	"leave":   playLeave,
	"moved":   playMoved,
	"popular": playPopular,
	"readers": playReaders,
	"slow":    playSlowRead,
	"weights": playWeights,
	"storm":   playStorm,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(w *world) (int, error), folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer w.close()
	code, err := run(w)
	if err != nil {
		w.say("the case couldn't run: %v", err)
		return notRun
	}
	return code
}
