fleet {
  requests { rate = 100 }
  book "kalahari-core" { share = percent(30) }
  book "namib-factors" { share = percent(20) }
}
