package questionnaire

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/daisywall/daisywall/settings"
	"github.com/daisywall/daisywall/structs"
)

// Answers is a completed questionnaire.
type Answers struct {
	Team       string           `json:"team"`
	BudgetDays int64            `json:"budget_days"`
	Requests   []RequestAnswers `json:"requests"`
	Services   []ServiceAnswers `json:"services"`
	Batch      []BatchAnswers   `json:"batch"`
}

// RequestAnswers describes one kind of request.
type RequestAnswers struct {
	Name            string  `json:"name"`
	Caller          string  `json:"caller"`
	RunTwice        string  `json:"run_twice"`
	UselessAfterMS  int64   `json:"useless_after_ms"`
	GoodWithinMS    int64   `json:"good_within_ms"`
	MayMissPer10000 int64   `json:"may_miss_per_10000"`
	PeakPerSecond   float64 `json:"peak_per_second"`
}

// Size is the declared resource need of one instance or task.
type Size struct {
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
}

// ServiceAnswers describes one service.
type ServiceAnswers struct {
	Name      string `json:"name"`
	Program   string `json:"program"`
	Instances int32  `json:"instances"`
	AlwaysUp  int32  `json:"always_up"`
	Size
	HurtsMore string `json:"hurts_more"`
}

// BatchAnswers describes one class of batch work.
type BatchAnswers struct {
	Class             string  `json:"class"`
	Program           string  `json:"program"`
	TasksAtOnce       int64   `json:"tasks_at_once"`
	UsualMinutes      float64 `json:"usual_minutes"`
	FinishWithinHours float64 `json:"finish_within_hours"`
	MayMissPer1000    int64   `json:"may_miss_per_1000"`
	FailingTask       string  `json:"failing_task"`
	Size
	HurtsMore string `json:"hurts_more"`
}

const answersSubject = "answers"

var answersSchema = settings.MustCompile(answersSubject, answersSchemaJSON())

// jsonObject is a JSON object, such as an answers file or a part of its JSON
// Schema.
type jsonObject map[string]any

// answersSchemaJSON derives the JSON Schema of an answers file from the
// questions.
func answersSchemaJSON() []byte {
	root := jsonObject{"type": "object", "additionalProperties": false}
	properties, required := jsonObject{}, []string{}
	for _, section := range Sections() {
		fields, names := sectionSchema(section)
		if section.Key == "" {
			for key, field := range fields {
				properties[key] = field
			}
			required = append(required, names...)
			continue
		}
		item := jsonObject{"type": "object", "additionalProperties": false, "properties": fields, "required": names}
		properties[section.Key] = jsonObject{"type": "array", "maxItems": 64, "items": item}
		required = append(required, section.Key)
	}
	root["properties"], root["required"] = properties, required
	data, err := json.Marshal(root)
	if err != nil {
		panic(fmt.Errorf("schema of the questionnaire: %w", err))
	}
	return data
}

func sectionSchema(section Section) (fields jsonObject, names []string) {
	fields = jsonObject{}
	for _, q := range section.Questions {
		fields[q.Key] = q.jsonSchema()
		names = append(names, q.Key)
	}
	return fields, names
}

func (q Question) jsonSchema() jsonObject {
	switch q.Kind {
	case KindCount:
		return jsonObject{"type": "integer", "minimum": q.Min, "maximum": q.Max}
	case KindAmount:
		return jsonObject{"type": "number", "minimum": q.Min, "maximum": q.Max}
	case KindChoice:
		var values []string
		for _, c := range q.Choices {
			values = append(values, c.Value)
		}
		return jsonObject{"enum": values}
	default:
		return jsonObject{"type": "string", "pattern": nameExpression}
	}
}

// Decode reads an answers file. It returns *structs.InvalidError with every
// fault.
func Decode(data []byte) (*Answers, error) {
	answers := &Answers{}
	err := answersSchema.Decode(data, answers)
	var invalid *structs.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		return nil, fmt.Errorf("decode answers: %w", err)
	}
	var faults []structs.Fault
	if invalid != nil {
		faults = invalid.Faults
		answers = &Answers{}
		var wrongType *json.UnmarshalTypeError
		if decodeErr := json.Unmarshal(data, answers); decodeErr != nil && !errors.As(decodeErr, &wrongType) {
			return nil, err
		}
	}
	faults = append(faults, answers.checkConsistency()...)
	if len(faults) > 0 {
		return nil, &structs.InvalidError{Subject: answersSubject, Faults: faults}
	}
	return answers, nil
}

// checkConsistency returns the faults of rules that span several answers.
func (a *Answers) checkConsistency() []structs.Fault {
	var faults []structs.Fault
	require := func(satisfied bool, path string, value any, rule string) {
		if !satisfied {
			faults = append(faults, structs.Fault{Path: path, Value: fmt.Sprint(value), Rule: rule})
		}
	}
	names := map[string]bool{}
	requireUnique := func(list, name, path string) {
		require(name == "" || !names[list+name], path, name, "must be unique")
		names[list+name] = true
	}
	for i, r := range a.Requests {
		path := fmt.Sprintf("/requests/%d", i)
		requireUnique("request ", r.Name, path+"/name")
		require(r.UselessAfterMS <= 0 || r.GoodWithinMS <= r.UselessAfterMS, path+"/good_within_ms", r.GoodWithinMS, "must not exceed useless_after_ms")
	}
	for i, s := range a.Services {
		path := fmt.Sprintf("/services/%d", i)
		requireUnique("service ", s.Name, path+"/name")
		require(s.Instances <= 0 || s.AlwaysUp <= s.Instances, path+"/always_up", s.AlwaysUp, "must not exceed instances")
	}
	for i, b := range a.Batch {
		path := fmt.Sprintf("/batch/%d", i)
		requireUnique("batch ", b.Class, path+"/class")
		require(b.FinishWithinHours <= 0 || b.UsualMinutes <= b.FinishWithinHours*60, path+"/usual_minutes", b.UsualMinutes, "must not exceed finish_within_hours")
	}
	return faults
}

// Encode returns the indented JSON form of the answers.
func (a *Answers) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode answers: %w", err)
	}
	return append(data, '\n'), nil
}
