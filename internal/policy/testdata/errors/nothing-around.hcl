fleet {
  share = 1
  book "kalahari-core" { share = percent(10) }
  book "*" {
    requests { part = percent(10) }
    work {}
    repeats { part = percent(10) }
  }
}
