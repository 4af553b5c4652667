package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
)

// Move implements live.Fleet.
func (g *rig) Move(node string) {
	g.moved[node] = !g.moved[node]
	g.addEvent(Event{Node: node, What: "moves"})
}

// Clock implements live.Fleet. Only programs that were built for mutants accept a wrong clock. Their records contain
// the clock's reading, so that the judge detects programs that ignored it.
func (g *rig) Clock(node string, by time.Duration) {
	g.clockErrors[node] = by
	g.addEvent(Event{Node: node, What: eventClockWrong, Wrong: by})
}

// Arm implements live.Fleet. Only programs that were built for mutants stop at a step.
func (g *rig) Arm(node, step string) (met func() bool, goOn func(), err error) {
	arm := filepath.Join(g.options.Dir, node, "arm-"+step)
	at := filepath.Join(g.options.Dir, node, "at-"+step)
	met = func() bool {
		_, err := os.Stat(at)
		return err == nil
	}
	goOn = func() {
		_ = os.Remove(arm)
		_ = os.Remove(at)
	}
	return met, goOn, os.WriteFile(arm, nil, fileMode)
}

// namesOf returns the names of the nodes that a fault selects.
func (g *rig) namesOf(of func(string) bool) (names []string) {
	for _, n := range g.names {
		if of(n) {
			names = append(names, n)
		}
	}
	return names
}

// Cut implements live.Fleet.
func (g *rig) Cut(from, to func(string) bool) func() {
	heal := g.relays.Cut(from, to)
	e := Event{What: eventCut, From: g.namesOf(from), To: g.namesOf(to)}
	g.addEvent(e)
	return func() {
		heal()
		e.Ended = true
		e.What = eventCutHealed
		g.addEvent(e)
	}
}

// Ail implements live.Fleet.
func (g *rig) Ail(from, to func(string) bool, a fault.Ails) func() {
	heal := g.relays.Impair(from, to, a)
	e := Event{What: eventImpaired, From: g.namesOf(from), To: g.namesOf(to), Ails: &a}
	g.addEvent(e)
	return func() {
		heal()
		e.Ended = true
		e.What = eventImpairmentOver
		g.addEvent(e)
	}
}

// incarnationFile is the name of the file in a node's directory that contains its incarnation.
const incarnationFile = "life.json"

// Spoil implements live.Fleet. A superuser may write to any file regardless of its mode, so the faults do not use file
// modes.
func (g *rig) Spoil(node string, how fault.Spoilt) (mend func(), err error) {
	file := filepath.Join(g.stateDirectory(node), incarnationFile)
	next := file + ".new"
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	mend = func() {
		_ = os.RemoveAll(next)
		_ = os.WriteFile(file, content, fileMode)
	}
	switch how {
	case fault.Full:
		err = os.Symlink("/dev/full", next)
	case fault.Unwritable:
		err = os.Mkdir(next, directoryMode)
	case fault.Foreign:
		foreign := strings.Replace(string(content), fmt.Sprintf("%q", node), `"somebody-else"`, 1)
		err = os.WriteFile(file, []byte(foreign), fileMode)
	case fault.Torn:
		err = os.WriteFile(file, content[:len(content)/2], fileMode)
	case fault.Emptied:
		return func() {}, os.RemoveAll(g.stateDirectory(node))
	default:
		err = fmt.Errorf("unknown directory fault: %q", how)
	}
	return mend, err
}
