package steps

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
)

func TestOrderOfDemandsIsTransitive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *Demand {
			d := demand(name, 1, structs.Step{Fills: rapid.Bool().Draw(t, "fills"), LongRunning: rapid.Bool().Draw(t, "long-running")})
			d.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
			d.Slack = time.Duration(rapid.IntRange(-40, 10).Draw(t, "slack")) * time.Second
			d.RemainingWork = float64(rapid.IntRange(0, 5).Draw(t, "work"))
			d.goesFirst = d.Spec.Fills && rapid.Bool().Draw(t, "first")
			return &d
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if compareDemands(a, b) < 0 && compareDemands(b, c) < 0 && compareDemands(a, c) >= 0 {
			t.Fatalf("a goes before b and b before c, but not a before c: %+v, %+v, %+v", a, b, c)
		}
		if compareDemands(a, b) != -compareDemands(b, a) {
			t.Fatalf("the order of a and b depends on which is compared: %+v, %+v", a, b)
		}
	})
}
