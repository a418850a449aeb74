// Package questionnaire generates a team's configuration from answers about its
// work, its urgency and its tolerance for delay. The answers come from a
// terminal or from a file. Equal answers always give equal configurations, and
// every field comes with the reason for its value.
package questionnaire
