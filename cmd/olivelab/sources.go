package main

import (
	"errors"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/fault"
)

// sources wires the campaigns to the scripts and the stage.
func sources() campaign.Sources {
	return campaign.Sources{
		Scenario: func(string) (campaign.Draw, error) { return nil, errNoStage },
		Parse:    func(string, []byte) (*fault.Script, error) { return nil, errNoStage },
	}
}

// errNoStage is what all runs end with until the stage is wired here.
var errNoStage = errors.New("this build has no stage to play on")
