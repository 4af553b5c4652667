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
		var c budget.CountRecord
		if l.Kind != "counted" || json.Unmarshal(l.Data, &c) != nil {
			continue
		}
		op := porcupine.Operation{ClientId: l.PID, Input: c, Call: c.Began, Return: l.At}
		if !c.Answered {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			by := map[int64][]porcupine.Operation{}
			for _, op := range history {
				period := op.Input.(budget.CountRecord).Request.Period
				by[period] = append(by[period], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range by {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, _ any) []any {
			spent, c := state.(int64), input.(budget.CountRecord)
			units := budget.StockSize(c.Request.Need, countLimit-spent)
			after := max(spent+units-max(c.Request.Returned, 0), 0)
			switch {
			case !c.Answered:
				return []any{spent, after}
			case units != c.Granted.Units || countLimit-after != c.Granted.Remaining:
				return nil
			}
			return []any{after}
		},
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), ops, historyWithin)
}
