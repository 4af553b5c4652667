package fleetfile

import (
	"fmt"
	"reflect"
	"slices"
	"time"
)

// ImmutableChange returns the name of the first setting that differs in next and cannot change while a node runs; "":
// there is none.
func (f *File) ImmutableChange(next *File) string {
	switch {
	case !reflect.DeepEqual(f.Member, next.Member):
		return "member"
	case f.Book.terms() != next.Book.terms():
		return "book"
	case f.Book.voters().changesWithoutEdition(next.Book.voters()):
		return "book.keepers, without a higher edition,"
	case (len(f.Operators.Voters) == 0) != (len(next.Operators.Voters) == 0):
		return "operators"
	case f.Operators.voters().changesWithoutEdition(next.Operators.voters()):
		return "operators.keepers, without a higher edition,"
	case f.Work.voters().changesWithoutEdition(next.Work.voters()):
		return "work.keepers, without a higher edition,"
	case f.Choices != next.Choices:
		return "choices"
	case !reflect.DeepEqual(f.Work.withoutVoters(), next.Work.withoutVoters()):
		return "work"
	}
	return immutableBudgetChange(f.Budgets, next.Budgets)
}

// immutableBudgetChange is ImmutableChange for the list of budgets.
func immutableBudgetChange(budgets, next []Budget) string {
	if len(budgets) != len(next) {
		return "the list of budgets"
	}
	for i := range budgets {
		if budgets[i].identity() != next[i].identity() {
			return fmt.Sprintf("name, tenant, kind or period of budget %q", budgets[i].Name)
		}
	}
	return ""
}

// voters are the nodes that replicate a log, with the edition of the list.
type voters struct {
	names   []string
	edition int
}

func (b Book) voters() voters      { return voters{b.Voters, b.Edition} }
func (w Work) voters() voters      { return voters{w.Voters, w.Edition} }
func (o Operators) voters() voters { return voters{o.Voters, o.Edition} }

// changesWithoutEdition reports whether the next voters have a lower edition, or differ within the same edition.
func (v voters) changesWithoutEdition(next voters) bool {
	return next.edition < v.edition || next.edition == v.edition && !slices.Equal(v.names, next.names)
}

// budgetTerms are the fields of a Book other than its voters.
type budgetTerms struct {
	lease   time.Duration
	reserve float64
	seats   int
}

func (b Book) terms() budgetTerms { return budgetTerms{b.LeaseTime, b.Reserve, b.Seats} }

// withoutVoters returns the work table without its voters and their edition.
func (w Work) withoutVoters() Work {
	w.Voters = nil
	w.Edition = 0
	return w
}

// budgetIdentity has the fields of a budget that cannot change while a node runs.
type budgetIdentity struct {
	name   string
	tenant string
	use    string
	kind   string
	period time.Duration
}

func (b Budget) identity() budgetIdentity {
	return budgetIdentity{b.Name, b.Tenant, b.Use, b.Kind, b.PeriodTime}
}
