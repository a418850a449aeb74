package questionnaire

// Kind is the type of an answer.
type Kind string

// Kinds of answers.
const (
	KindName   Kind = "name"   // lower case letters, digits and hyphens
	KindCount  Kind = "count"  // whole number
	KindAmount Kind = "amount" // number with a fraction
	KindChoice Kind = "choice" // one of Choices
)

// Choice is one possible answer.
type Choice struct {
	Value string
	Text  string
}

// Question is one question with a typed answer. Key is its name in an answers
// file.
type Question struct {
	Key     string
	Text    string
	Kind    Kind
	Unit    string // unit of a number, empty if there is none
	Default string // default answer as typed, empty if an answer is required
	Min     float64
	Max     float64
	Choices []Choice
}

// Section is a group of questions. They are answered once, or once for each
// item of a list.
type Section struct {
	Key       string // name of the list in an answers file, empty for the team
	Title     string
	Item      string // name of one list item in prompts, empty for the team
	Questions []Question
}

// Values of choices in an answers file.
const (
	callerWaits          = "waits"
	callerCanWait        = "can-wait"
	secondRunHarmless    = "harmless"
	secondRunHarmful     = "harmful"
	stopHurtsMore        = "stopped-in-outage"
	lateRestartHurtsMore = "restarted-late"
	bothHurtTheSame      = "about-the-same"
	giveUpEarly          = "give-up-early"
	keepTrying           = "keep-trying"
)

const (
	maxMilliseconds = 7 * 24 * 3600 * 1000
	maxCount        = 100_000
	nameExpression  = "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
)

func outageQuestion(subject string) Question {
	return Question{
		Key:  "hurts_more",
		Text: "The platform's table is out. What hurts more: " + subject + " stopped in an outage, or restarted late after its host fell silent?",
		Kind: KindChoice, Default: bothHurtTheSame,
		Choices: []Choice{
			{stopHurtsMore, "being stopped in an outage hurts more"},
			{lateRestartHurtsMore, "a late restart hurts more"},
			{bothHurtTheSame, "both hurt about the same"},
		},
	}
}

func sizeQuestions(item string) []Question {
	return []Question{
		{Key: "processors", Text: "How many processors does one " + item + " need?", Kind: KindAmount, Unit: "processors", Default: "1", Min: 0.001, Max: 10_000},
		{Key: "memory_mb", Text: "How much memory does one " + item + " need?", Kind: KindCount, Unit: "MB", Default: "1024", Min: 1, Max: 10_000_000},
		{Key: "accelerators", Text: "How many accelerators does one " + item + " need?", Kind: KindCount, Default: "0", Max: 1000},
	}
}

// Sections returns all sections in the order in which they are asked.
func Sections() []Section {
	return []Section{teamSection(), requestSection(), serviceSection(), batchSection()}
}

func teamSection() Section {
	return Section{Title: "The team", Questions: []Question{
		{Key: "team", Text: "What is the team called?", Kind: KindName},
		{Key: "budget_days", Text: "Over how many days is the error budget counted?", Kind: KindCount, Unit: "days", Default: "30", Min: 1, Max: 90},
	}}
}

func requestSection() Section {
	return Section{Key: "requests", Title: "Requests that the team answers", Item: "kind of request", Questions: []Question{
		{Key: "name", Text: "What is this kind of request called?", Kind: KindName},
		{Key: "caller", Text: "Does somebody wait for the answer?", Kind: KindChoice, Choices: []Choice{
			{callerWaits, "yes, a person or a truck waits"},
			{callerCanWait, "no, it may be answered later"},
		}},
		{Key: "run_twice", Text: "What happens when the same request runs twice?", Kind: KindChoice, Choices: []Choice{
			{secondRunHarmless, "nothing, the second run changes nothing"},
			{secondRunHarmful, "harm, such as a second payment or a second alert"},
		}},
		{Key: "useless_after_ms", Text: "After how long is an answer useless?", Kind: KindCount, Unit: "ms", Min: 1, Max: maxMilliseconds},
		{Key: "good_within_ms", Text: "Within how long should nearly all answers come?", Kind: KindCount, Unit: "ms", Min: 1, Max: maxMilliseconds},
		{Key: "may_miss_per_10000", Text: "Of 10,000 requests, how many may fail or come later than that?", Kind: KindCount, Default: "10", Min: 1, Max: 9999},
		{Key: "peak_per_second", Text: "How many come in a second at the peak?", Kind: KindAmount, Unit: "per second", Min: 0.01, Max: 10_000},
	}}
}

func serviceSection() Section {
	questions := []Question{
		{Key: "name", Text: "What is the service called?", Kind: KindName},
		{Key: "program", Text: "Which program runs?", Kind: KindName},
		{Key: "instances", Text: "How many instances run in normal operation?", Kind: KindCount, Min: 1, Max: maxCount},
		{Key: "always_up", Text: "How many of them must stay up while others are moved?", Kind: KindCount, Default: "0", Max: maxCount},
	}
	questions = append(questions, sizeQuestions("instance")...)
	return Section{Key: "services", Title: "Services that stay up", Item: "service", Questions: append(questions, outageQuestion("the service being"))}
}

func batchSection() Section {
	questions := []Question{
		{Key: "class", Text: "What is this class of batch work called?", Kind: KindName},
		{Key: "program", Text: "Which program runs?", Kind: KindName},
		{Key: "tasks_at_once", Text: "How many tasks run at once at most?", Kind: KindCount, Min: 1, Max: maxCount},
		{Key: "usual_minutes", Text: "How long does one task usually run?", Kind: KindAmount, Unit: "minutes", Min: 0.01, Max: 10_000},
		{Key: "finish_within_hours", Text: "How long after submission must a job be finished?", Kind: KindAmount, Unit: "hours", Min: 0.01, Max: 8000},
		{Key: "may_miss_per_1000", Text: "Of 1,000 jobs, how many may miss that?", Kind: KindCount, Default: "10", Min: 1, Max: 999},
		{Key: "failing_task", Text: "A task fails again and again. What should happen?", Kind: KindChoice, Default: keepTrying, Choices: []Choice{
			{giveUpEarly, "give up early and say so"},
			{keepTrying, "keep trying, a lost run is worse"},
		}},
	}
	questions = append(questions, sizeQuestions("task")...)
	return Section{Key: "batch", Title: "Batch work that must be finished", Item: "class of batch work", Questions: append(questions, outageQuestion("a task being"))}
}
