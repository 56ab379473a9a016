// Package ferrydocument accepts changes of service documents, spreads them and keeps what is in force in this process, which never steps back.
package ferrydocument
