// Package ferrydocument accepts changes of service documents, distributes them to the entries and keeps the
// versions in force in this process. The version in force never goes back to an earlier generation.
package ferrydocument
