package questionnaire

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/structs"
)

// updateFiles makes checkCurrent rewrite generated files before it compares
// them.
var updateFiles = flag.Bool("update", false, "rewrite generated files")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const examples = "../../examples"

func readExampleAnswers(t *testing.T, team string) *Answers {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, team, "answers.json"))
	is.New(t).NoErr(err)
	answers, err := Decode(data)
	is.New(t).NoErr(err)
	return answers
}

func checkCurrent(t *testing.T, path string, want []byte) {
	t.Helper()
	if *updateFiles {
		is.New(t).NoErr(os.WriteFile(path, want, 0o644))
	}
	current, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	if string(current) != string(want) {
		t.Fatalf("%s is not current; run: go test ./config/questionnaire -update", path)
	}
}

func TestExampleConfigurationsAreCurrent(t *testing.T) {
	for _, team := range []string{"jabuka", "graz"} {
		t.Run(team, func(t *testing.T) {
			result, err := Generate(readExampleAnswers(t, team))
			is.New(t).NoErr(err)
			data, err := config.EncodeTeam(result.Team)
			is.New(t).NoErr(err)
			checkCurrent(t, filepath.Join(examples, team, "config.json"), data)
		})
	}
}

func TestExampleConfigurationsMatchTheNeedsOfTheTeams(t *testing.T) {
	is := is.New(t)
	jabuka, err := Generate(readExampleAnswers(t, "jabuka"))
	is.NoErr(err)
	check, err := jabuka.Team.Request("slot-check")
	is.NoErr(err)
	is.Equal(check.Urgency, structs.Urgent)
	is.True(check.Idempotent)
	payment, err := jabuka.Team.Request("grower-payment")
	is.NoErr(err)
	is.True(!payment.Idempotent)
	graz, err := Generate(readExampleAnswers(t, "graz"))
	is.NoErr(err)
	alert, err := graz.Team.Request("alert")
	is.NoErr(err)
	is.True(!alert.Idempotent && alert.Urgency == structs.Urgent)
	sighting, err := graz.Team.Request("sighting")
	is.NoErr(err)
	is.True(sighting.Idempotent && sighting.Urgency == structs.Deferred)
	is.True(graz.Team.Services[0].MinAvailable > 0)
}

// unexplained returns the fields of the team whose path and value no
// explanation lists.
func unexplained(t *testing.T, r *Result) []string {
	t.Helper()
	explained := map[string]bool{}
	for _, e := range r.Explanations {
		explained[e.Path+"="+e.Value] = true
	}
	var missing []string
	whole := &structs.Config{Teams: []structs.TeamConfig{r.Team}}
	for _, field := range config.Diff(&structs.Config{}, whole) {
		var value any
		is.New(t).NoErr(json.Unmarshal([]byte(field.After), &value))
		path := strings.TrimPrefix(field.Path, "/teams/"+string(r.Team.ID))
		if f, isNumber := value.(float64); isNumber && f == float64(int64(f)) {
			value = int64(f)
		}
		if !explained[fmt.Sprintf("%s=%v", path, value)] {
			missing = append(missing, path)
		}
	}
	return missing
}

func TestEveryFieldIsExplained(t *testing.T) {
	is := is.New(t)
	for _, team := range []string{"jabuka", "graz"} {
		result, err := Generate(readExampleAnswers(t, team))
		is.NoErr(err)
		is.Equal(unexplained(t, result), nil)
	}
}

func TestUnexplainedFieldsAreFound(t *testing.T) {
	is := is.New(t)
	result, err := Generate(readExampleAnswers(t, "graz"))
	is.NoErr(err)
	result.Team.Requests[0].DeadlineMS++
	result.Explanations = result.Explanations[1:]
	is.Equal(unexplained(t, result), []string{"/id", "/requests/alert/deadline_ms"})
}

// terminalInput returns the answers as an operator would type them.
func terminalInput(t *testing.T, a *Answers) string {
	t.Helper()
	data, err := a.Encode()
	is.New(t).NoErr(err)
	var document map[string]any
	is.New(t).NoErr(json.Unmarshal(data, &document))
	var b strings.Builder
	for _, section := range Sections() {
		items := []any{document}
		if section.Key != "" {
			items = document[section.Key].([]any)
		}
		for _, item := range items {
			if section.Key != "" {
				b.WriteString("yes\n")
			}
			for _, q := range section.Questions {
				fmt.Fprintf(&b, "%v\n", item.(map[string]any)[q.Key])
			}
		}
		if section.Key != "" {
			b.WriteString("no\n")
		}
	}
	return b.String()
}

func TestTerminalAndFileGiveTheSameAnswers(t *testing.T) {
	is := is.New(t)
	for _, team := range []string{"jabuka", "graz"} {
		want := readExampleAnswers(t, team)
		have, err := Ask(strings.NewReader(terminalInput(t, want)), io.Discard)
		is.NoErr(err)
		is.Equal(have, want)
	}
}

func TestInvalidAnswerIsAskedAgainWithTheBrokenRule(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	in := "Jabuka!\njabuka\nNaN\n\nno\nno\n2\n"
	answers, err := Ask(strings.NewReader(in), &out)
	is.NoErr(err)
	is.Equal(answers.Team, "jabuka")
	is.Equal(answers.BudgetDays, int64(30))
	is.True(strings.Contains(out.String(), `"Jabuka!": must be lower case`))
	is.True(strings.Contains(out.String(), `"NaN": must be a whole number from 1 to 90`))
}

func TestIncompleteInputReportsTheUnansweredQuestion(t *testing.T) {
	is := is.New(t)
	_, err := Ask(strings.NewReader("jabuka\n"), io.Discard)
	var incomplete *IncompleteError
	is.True(errors.As(err, &incomplete))
	is.Equal(incomplete.Question, teamSection().Questions[1].Text)
}

func TestMalformedAnswersReportEveryFault(t *testing.T) {
	is := is.New(t)
	answers := readExampleAnswers(t, "jabuka")
	answers.Team = "Jabuka"
	answers.Requests[0].Caller = "maybe"
	answers.Requests[1].GoodWithinMS = answers.Requests[1].UselessAfterMS + 1
	answers.Requests[1].Name = answers.Requests[0].Name
	answers.Services[0].AlwaysUp = 5
	answers.Batch[0].UsualMinutes = 1e4
	data, err := answers.Encode()
	is.NoErr(err)
	_, err = Decode(data)
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	var paths []string
	for _, fault := range invalid.Faults {
		is.True(fault.Value != "" && fault.Rule != "")
		paths = append(paths, fault.Path)
	}
	is.Equal(paths, []string{
		"/requests/0/caller", "/team", "/requests/1/name", "/requests/1/good_within_ms",
		"/services/0/always_up", "/batch/0/usual_minutes",
	})
}

func TestWrongTypeDoesNotHideOtherFaults(t *testing.T) {
	is := is.New(t)
	answers := readExampleAnswers(t, "graz")
	answers.Services[0].AlwaysUp = 5
	data, err := answers.Encode()
	is.NoErr(err)
	_, err = Decode([]byte(strings.Replace(string(data), `"budget_days": 30`, `"budget_days": "30"`, 1)))
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 2)
	is.Equal(invalid.Faults[0].Path, "/budget_days")
	is.Equal(invalid.Faults[1].Path, "/services/0/always_up")
}

func TestAnswerFieldsMatchTheQuestions(t *testing.T) {
	is := is.New(t)
	sections := Sections()
	for i, answers := range []any{Answers{}, RequestAnswers{}, ServiceAnswers{}, BatchAnswers{}} {
		var keys []string
		for _, q := range sections[i].Questions {
			keys = append(keys, q.Key)
		}
		for _, field := range reflect.VisibleFields(reflect.TypeOf(answers)) {
			if key := field.Tag.Get("json"); key != "" && field.Type.Kind() != reflect.Slice {
				is.Equal(key, keys[0])
				keys = keys[1:]
			}
		}
		is.Equal(len(keys), 0)
	}
}

func FuzzDecodeAnswers(f *testing.F) {
	for _, team := range []string{"jabuka", "graz"} {
		data, err := os.ReadFile(filepath.Join(examples, team, "answers.json"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, err := Decode(data)
		if err != nil {
			return
		}
		first, err := Generate(answers)
		if err != nil {
			var invalid *structs.InvalidError
			is.New(t).True(errors.As(err, &invalid))
			return
		}
		second, err := Generate(answers)
		is.New(t).NoErr(err)
		is.New(t).Equal(first, second)
	})
}

func FuzzAsk(f *testing.F) {
	f.Add("jabuka\n30\nno\nno\nno\n")
	f.Add("graz\n\nyes\nalert\n1\n2\n2000\n400\n\n5e1\nno\n2\n2\n")
	f.Fuzz(func(t *testing.T, in string) {
		answers, err := Ask(strings.NewReader(in), io.Discard)
		if err != nil {
			var invalid *structs.InvalidError
			var incomplete *IncompleteError
			is.New(t).True(errors.As(err, &invalid) || errors.As(err, &incomplete))
			return
		}
		data, err := answers.Encode()
		is.New(t).NoErr(err)
		decoded, err := Decode(data)
		is.New(t).NoErr(err)
		is.New(t).Equal(decoded, answers)
	})
}
