package main

import (
	"io"
	"testing"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/stage"
)

// sources connects campaigns to the fault scripts and to the stage that plays them.
func sources() campaign.Sources {
	newPlayer := func(log io.Writer) campaign.Player {
		return func(t *testing.T, s *fault.Script, w io.Writer) stage.Result {
			return stage.Play(t, s, stage.Options{Trace: w, Log: log})
		}
	}
	watched := func(t *testing.T, s *fault.Script, w io.Writer) stage.Result {
		return stage.Play(t, s, stage.Options{Watch: sample.NewWriter(w)})
	}
	var kinds []string
	for _, k := range fault.KindTable() {
		kinds = append(kinds, k.Name)
	}
	return campaign.Sources{
		Play: newPlayer(nil), Logged: newPlayer, Watched: watched, Scenario: scenario, Parse: fault.Parse,
		Write: (*fault.Script).Write, Smaller: (*fault.Script).Smaller,
		Kinds: (*fault.Script).Kinds, Pairs: (*fault.Script).Pairs, AllKinds: kinds,
		Rules: append(rules.Names(), campaign.RuleHang),
	}
}

// scenario returns the function that draws scripts from the scenario file at path, or from the built-in scenario if
// path is empty.
func scenario(path string) (campaign.Draw, error) {
	read := fault.Default
	if path != "" {
		read = func() (*fault.Scenario, error) { return fault.LoadScenario(path) }
	}
	sc, err := read()
	if err != nil {
		return nil, err
	}
	return func(seed uint64) *fault.Script { return fault.Draw(seed, sc) }, nil
}
