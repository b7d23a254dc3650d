fleet {
  requests { rate = 100 }
  work     { rate = 100000 }
  open     { most = 100 }
  site "okuryangava" { share = 1 }
  book "kalahari-core" {
    share = percent(10)
    repeats { part = percent(10) }
    class "ledger-view" { share = percent(10) }
  }
  book "*" {
    requests { rate = 1 }
  }
}
