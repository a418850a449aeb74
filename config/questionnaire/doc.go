// Package questionnaire turns answers about a team's work, its urgency and its
// tolerance for delay into the team's configuration. Answers come from a
// terminal or from a file; the same answers always give the same
// configuration, and each of its fields is explained.
package questionnaire
