package fleet

import (
	"encoding/json"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"olivebridge/internal/fleet/budget"
)

// historyWithin is the time limit of the search for a valid order of a history.
const historyWithin = 20 * time.Second

// countHistory checks the requests of all processes to the ledger, and the answers, against a model of a single ledger.
// The history is valid if there is an order in which each request takes effect between its start and its answer, and
// the model gives the same answers. A request without an answer may or may not have taken effect.
func countHistory(a *Account) porcupine.CheckResult {
	var ops []porcupine.Operation
	for _, l := range a.Lines {
		var entry budget.CountRecord
		if l.Kind != "counted" || json.Unmarshal(l.Data, &entry) != nil {
			continue
		}
		op := porcupine.Operation{ClientId: l.PID, Input: entry, Call: entry.Began, Return: l.At}
		if !entry.Answered {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byPeriod := map[int64][]porcupine.Operation{}
			for _, op := range history {
				period := op.Input.(budget.CountRecord).Request.Period
				byPeriod[period] = append(byPeriod[period], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byPeriod {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, _ any) []any {
			spent, entry := state.(int64), input.(budget.CountRecord)
			units := budget.StockSize(entry.Request.Need, countLimit-spent)
			after := max(spent+units-max(entry.Request.Returned, 0), 0)
			switch {
			case !entry.Answered:
				return []any{spent, after}
			case units != entry.Granted.Units || countLimit-after != entry.Granted.Remaining:
				return nil
			}
			return []any{after}
		},
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), ops, historyWithin)
}
